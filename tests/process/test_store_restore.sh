#!/usr/bin/env bash
# Restores the store from a backup while a fleet is running: three hosts and the stand-ins of the store, of two model
# engines and of a booking service. Checks do not depend on timing. The last line is
# "store-restore: N passed, N failed".
set -u
cd "$(dirname "$0")/../.." || exit 1
PORT_BASE=${PORT_BASE:-30000}
# shellcheck source=tests/process/fleet.bash
. tests/process/fleet.bash

LIMIT=6000

equal () { [ "$1" = "$2" ] || { echo "  got $1, expected $2"; return 1; }; }
at_most () { [ "$1" -le "$2" ] || { echo "  got $1, at most $2"; return 1; }; }
at_least () { [ "$1" -ge "$2" ] || { echo "  got $1, at least $2"; return 1; }; }
store_admin () { curl -sf -d "$1" "http://127.0.0.1:$STORE_PORT/admin/drill" >/dev/null; }
finish_reason_or_error () { jq -r '.choices[0].finish_reason // .error.kind'; }
restore_logged () { grep -q "part=store event=went_back" "$WORK/host-$1.out"; }
version_is () { [ "$(host_state "$1" | jq .version)" = "$2" ]; }

# spend_tokens COUNT: sends COUNT requests; prints the sum of the tokens reported as used in the responses.
spend_tokens ()
{
  local n used sum=0
  for n in $(seq 1 "$1"); do
    used=$(chat_completion $((n % 3)) "How level is court $n?" | jq '.usage.total_tokens // 0')
    sum=$((sum + used))
  done
  echo "$sum"
}

start_store
store_admin '{"keep_copy":true}'
start_engine 0
start_engine 1
start_service 0
for i in 0 1 2; do start_host $i; done
first_ticket $LIMIT >"$WORK/ticket-1.toml"
apply_ticket "$WORK/ticket-1.toml" >/dev/null
for i in 0 1 2; do check "host-$i becomes ready" eventually is_ready $i; done
is_served () { [ "$(chat_completion 0 'Level?' | finish_reason_or_error)" = length ]; }
check "model requests are served" eventually is_served
spent=$(spend_tokens 10)
store_admin '{"keep_copy":true}'
sed 's/^ticket = 1/ticket = 2/' "$WORK/ticket-1.toml" >"$WORK/ticket-2.toml"
apply_ticket "$WORK/ticket-2.toml" >/dev/null
for i in 0 1 2; do check "ticket 2 is in force on host-$i" eventually version_is $i 2; done
more=$(spend_tokens 30)
spent=$((spent + more))
store_admin '{"go_back":true}'
for i in 0 1 2; do check "host-$i detects the restore of the store" eventually restore_logged $i; done

# Guards against a host that returns to the older configuration of the backup.
for i in 0 1 2; do check "ticket 2 stays in force on host-$i" version_is $i 2; done
check "a booking is answered" equal "$(create_booking 1 b-1 '{"court":1}' | tail -1)" 200
check "model requests are served again" eventually is_served

# Guards against granting tokens twice: the backup does not contain the grants made since it was taken.
spent=$((spent + $(spend_tokens 130)))
check "no more than the limit is spent" at_most "$spent" $LIMIT
check "at least 80 % of the limit is spent" at_least "$spent" $((LIMIT * 8 / 10))
is_refused_for_budget () { case "$(chat_completion 0 'Level?' | finish_reason_or_error)" in budget_*) ;; *) return 1 ;; esac; }
check "the remaining budget does not cover a request" eventually is_refused_for_budget
echo "store-restore: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
