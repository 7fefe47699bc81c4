#!/usr/bin/env bash
# A worker crashes in the middle of streams that may be resumed and whose events have ids of 26 characters. See claim.txt.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no worker crashes.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=review/lib.bash
. "$CASE/../lib.bash"

ROUNDS=4
CONFIG='{"version":1,"routes":[
{"name":"r-query","host":"review.example","path_prefix":"/query/","kind":"streaming","timeout_ms":12000,"target_latency_ms":400,"priority":0,"service":"llm","max_attempts":2,"allow_anonymous":false,"sticky":true,"resume_streams":true,"target_gap_ms":400}],
"services":[{"name":"llm","health_path":"/health","connection_limit":630,"engine":{"slots":128,"kv_cache_tokens":759962,"stride":5}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"review","api_keys":["review-key"],"priority":1,"prepaid":8000000}]}'

start_store
put_config "$(echo "$CONFIG" | tr -d '\n')"
# start_worker N: each start is a new incarnation with a new id.
starts=0
start_worker ()
{
  starts=$((starts + 1))
  take_port WORKER_PORT
  "$RIG" worker "$WORKER_PORT" "i-review$starts" llm "$STORE_PORT" "$RECORD" sudvestur-a &
  PID[worker$1]=$!
  WORKER_ID[$1]=i-review$starts
}
WORKER_ID=()
for n in 1 2 3 4; do start_worker $n; done
make_host host_a sudvestur-a sudvestur
make_host host_b nordur-a nordur
for name in host_a host_b; do start_host $name; done
for name in host_a host_b; do is_ready $name 10000 || cannot_run "$name is not ready"; done
for n in $(seq 50); do
  [ "$("$RIG" call "$CALLERS_host_a" POST /query/warm "warm-$n" "$RECORD" 5000)" != whole ] || break
  [ "$n" != 50 ] || cannot_run "no stream is served"
  sleep 0.2
done

# round N: streams at all workers; one of four workers is killed in their middle, and another one starts.
round ()
{
  local calls=()
  for i in $(seq 8); do
    "$RIG" call "$CALLERS_host_a" POST "/query/$1" "stream$1-$i" "$RECORD" 8000 >/dev/null &
    calls+=($!)
  done
  sleep 0.7
  if [ "$TROUBLE" != 0 ]; then
    note "trouble: worker ${WORKER_ID[$1]} crashes"
    kill -KILL "${PID[worker$1]}"
    { wait "${PID[worker$1]}"; } 2>/dev/null
    "$RIG" post "$STORE_PORT" /admin/put "{\"table\":\"servers\",\"key\":\"${WORKER_ID[$1]}\",\"value\":null}"
  fi
  wait "${calls[@]}"
  [ "$TROUBLE" = 0 ] || start_worker "$1"
  sleep 1
}

for n in $(seq $ROUNDS); do round "$n"; done

# ORDER: in a stream that ends as complete, a piece comes twice.
broken=$(grep -c 'client ends .*status=200 complete=1 .*verdict=DOUBLED' "$RECORD")
note "streams in which pieces came twice: $broken of $((ROUNDS * 8))"
tail -1 "$RECORD"
[ "$broken" = 0 ]
