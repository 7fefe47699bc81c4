#!/usr/bin/env bash
# The platform's header and field names stand in platform/ and in the tests that play the platform; anywhere
# else they would tie the product to one platform.
set -u
cd "$(dirname "$0")/.." || exit 1
headers='X-Response-Seal|X-Expected-Instance|X-Deadline-Milliseconds|X-Token-Counts|X-Prompt-Prefix|X-Not-Executed'
headers="$headers|X-Server-Load|Server-Limit|Server-Leaving|X-Request-Urgency|X-Tenant|X-Instance-Id|X-Cold-Milliseconds|/v1/rows-|/v1/report"
fields='expected_revision|set_keys|version_number|tombstone|weighted_services|target_latency_ms|allow_anonymous'
fields="$fields|resume_streams|api_keys|prepaid|kv_cache_tokens|cold_remaining_ms|health_path|target_gap_ms|allowed_regions|cold_per_s"
found=$(grep -nE "$headers|\"($fields)\"" src/*/*.[ch] src/*/*.cc)
[ -z "$found" ] && exit 0
echo "names of the platform outside platform/:"
echo "$found"
exit 1
