#!/usr/bin/env bash
# Plays the three failed requests of docs/OPERATIONS.md, "From a failed request to its cause", and follows the
# page's steps: guards against logs that no longer lead from an id to the cause. The last line is
# "walkthrough: N passed, N failed".
set -u
cd "$(dirname "$0")/../.." || exit 1
PORT_BASE=${PORT_BASE:-26000}
TOKEN_MS=5
# shellcheck source=tests/process/fleet.bash
. tests/process/fleet.bash

# ask HOST PATH BODY [curl options]: sends a request; its id, status and outcome go into variables.
ask ()
{
  local host=$1 path=$2 body=$3
  shift 3
  curl -s -m 20 -D "$WORK/head" -o "$WORK/body" -H "Authorization: Bearer $API_KEY" -d "$body" "$@" \
    "http://127.0.0.1:$(port $((100 + host)))$path"
  id=$(tr -d '\r' <"$WORK/head" | awk 'tolower ($1) == "x-request-id:" { print $2 }')
  status=$(awk 'NR == 1 { print $2 }' "$WORK/head")
}
chat () { printf '{"model":"modell-tjanst","max_tokens":%d,"messages":[{"role":"user","content":"%s"}]}' "$1" "$2"; }
# The page's first step: all lines of one request, from the logs of all hosts.
story () { grep -h "id=$id " "$WORK"/host-*.out; }
logged () { eventually sh -c "grep -qh 'event=end id=$id ' '$WORK'/host-*.out"; }
says () { story | grep -qE "$1" || { story; return 1; }; }

start_platform
start_engine 0
start_engine 1
start_service 0
for i in 0 1; do start_host $i; done
first_ticket 3000 >"$WORK/ticket-1.toml"
apply_ticket "$WORK/ticket-1.toml" >/dev/null
for i in 0 1; do check "host-$i becomes ready" eventually is_ready $i; done

# 1. Refused for its budget: the request may cost more than the account has left.
ask 0 /v1/chat/completions "$(chat 8000 'A long report, please.')"
check "a request beyond the budget is refused" [ "$status" = 402 ]
check "its end is logged" logged
check "the end names reason and account" says 'event=end .*account=klubbarna status=402 reason=budget_exhausted'
check "the detail gives what was wanted and what is left" says 'event=failed .*detail="account klubbarna: requested [0-9]+'
check "budget show gives the limit" [ "$(budget_field limit)" = 3000 ]

# 2. Lost with its server: the booking ran, its answer did not come.
faults_of 20 '{"run_then_close":1}'
ask 1 /v1/pools/boknings-tjanst/bookings '{"court":1}' -H 'Idempotency-Key: w-1'
check "a booking whose answer is lost fails" [ "$status" = 502 ]
check "its end is logged" logged
check "the end names the server and that it may have run" says 'event=end .*reason=server_failed server=service-0 sends=1 runs=1'
check "the rule says why it was not sent again" says 'event=no_retry .*server=service-0 .*reason=server_failed rule=outcome_unknown'

# 3. Late: the engines take requests and say nothing.
faults_of 10 '{"silent":1}'
faults_of 11 '{"silent":1}'
ask 0 /v1/chat/completions "$(chat 20 'Quick answer?')" -H 'X-Deadline-Ms: 700'
check "a request that gets no answer ends at its deadline" [ "$status" = 504 ]
check "its end is logged" logged
check "the end shows the wait for a first event" says 'event=end .*status=504 reason=deadline_exceeded server=engine-[01] .*first_ms=-1 .*total_ms=7'
check "the refusals are counted by reason" \
  eventually sh -c "curl -sf 'http://127.0.0.1:$(port 300)/metrics' | grep -q 'pond_refusals_total{reason=\"deadline_exceeded\"}'"

echo "walkthrough: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
