#!/usr/bin/env bash
# Answers without a length come over a tunnel of another host; the other host's process is killed. See claim.txt.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no worker goes dark, no host is killed.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=review/lib.bash
. "$CASE/../lib.bash"

ROUNDS=6
CONFIG='{"version":1,"routes":[
{"name":"r-draft","host":"review.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,"priority":1,"service":"llm","max_attempts":1,"allow_anonymous":false,"sticky":true,"resume_streams":false,"target_gap_ms":400}],
"services":[{"name":"llm","health_path":"/health","connection_limit":630,"engine":{"slots":128,"kv_cache_tokens":759962,"stride":5}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"review","api_keys":["review-key"],"priority":1,"prepaid":8000000}]}'

start_store
put_config "$(echo "$CONFIG" | tr -d '\n')"
# Worker 1 is the nearest one of host_a.
for n in 1 2 3 4; do
  take_port WORKER_PORT
  zone=nordur-a
  [ "$n" != 1 ] || zone=sudvestur-a
  "$RIG" worker "$WORKER_PORT" "i-review$n" llm "$STORE_PORT" "$RECORD" $zone &
  PID[worker$n]=$!
done
make_host host_a sudvestur-a sudvestur
make_host host_b sudvestur-a sudvestur
make_host host_c nordur-a nordur
for name in host_a host_b host_c; do start_host $name; done

# calls LABEL COUNT [PAUSE]: so many streams at host_a, at once or with a pause between. Their process ids are left in CALLS.
calls ()
{
  CALLS=()
  for i in $(seq "$2"); do
    [ -z "${3:-}" ] || sleep "$3"
    "$RIG" call "$CALLERS_host_a" POST "/draft/$1" "$1-$i" "$RECORD" 8000 >/dev/null &
    CALLS+=($!)
  done
}

# round N: worker 1 takes no new connection for 0.2 s while host_a opens one; then streams follow, and host_b is killed.
round ()
{
  local first
  for name in host_a host_b host_c; do
    is_ready $name 10000 && knows_hosts $name 3 20000 || cannot_run "$name does not know the others"
  done
  sleep 1
  if [ "$TROUBLE" != 0 ]; then
    note "trouble: worker i-review1 is dark for new connections"
    kill -USR1 "${PID[worker1]}"
    sleep 0.05
  fi
  calls "first$1" 1
  first=("${CALLS[@]}")
  sleep 0.2
  [ "$TROUBLE" = 0 ] || kill -USR2 "${PID[worker1]}"
  sleep 0.45
  calls "second$1" 14 0.02
  sleep 0.4
  if [ "$TROUBLE" != 0 ]; then
    note "trouble: host_b is killed"
    kill_host host_b
  fi
  wait "${first[@]}" "${CALLS[@]}"
  [ "$TROUBLE" = 0 ] || start_host host_b
}

for n in $(seq $ROUNDS); do round "$n"; done

# MIXED: a success with a body that is not the worker's whole body.
broken=$(grep -c 'client ends .*status=200 complete=1 .*verdict=SHORTENED' "$RECORD")
note "successes with a shortened body: $broken of $((ROUNDS * 15)) requests in $ROUNDS rounds"
tail -1 "$RECORD"
[ "$broken" = 0 ]
