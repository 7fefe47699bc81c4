#!/usr/bin/env bash
# Hosts are cut off from the store for some seconds, in which a worker leaves without notice. See claim.txt.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no cut.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=review/lib.bash
. "$CASE/../lib.bash"

N_HOSTS=18
ROUNDS=12
CUT_S=4.2
DRAIN_MS=2500
CONTACT_MS=3000
SLACK_MS=30 # of the proxies, until all of them pass bytes on again
CONFIG='{"version":1,"routes":[
{"name":"r-book","host":"review.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":1000,"target_latency_ms":120,"priority":2,"service":"bokun","max_attempts":1,"allow_anonymous":false}],
"services":[{"name":"bokun","health_path":"/health","connection_limit":1100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"review","api_keys":["review-key"],"priority":1}]}'

start_store
put_config "$(echo "$CONFIG" | tr -d '\n')"
worker ()
{
  take_port WORKER_PORT
  "$RIG" worker "$WORKER_PORT" "$1" bokun "$STORE_PORT" "$RECORD" "$2" &
  PID[$1]=$!
}
worker i-book0 sudvestur-a
for n in $(seq $N_HOSTS); do
  take_port PROXY_PORT
  "$RIG" proxy "$PROXY_PORT" "$STORE_PORT" &
  PID[proxy$n]=$!
  PROXIES+=("$!")
  STORE_OF_HOST=$PROXY_PORT make_host "host_$n" sudvestur-a sudvestur
done
for n in $(seq $N_HOSTS); do start_host "host_$n"; done
for n in $(seq $N_HOSTS); do
  is_ready "host_$n" 10000 && knows_hosts "host_$n" $N_HOSTS 20000 || cannot_run "host_$n is not ready"
done
for n in $(seq $N_HOSTS); do
  port="CALLERS_host_$n"
  "$RIG" load "${!port}" "host_$n" "$RECORD" 110 15 &
  PID[load$n]=$!
done

# round N: the path to the store is cut; the worker is replaced: a new one starts, the old one leaves; the path is back.
round ()
{
  if [ "$TROUBLE" != 0 ]; then
    note "trouble: path to the store cut"
    kill -USR1 "${PROXIES[@]}"
  fi
  sleep 0.2
  worker "i-book$1" sudvestur-a
  sleep 0.2
  kill -TERM "${PID[i-book$(($1 - 1))]}"
  sleep $CUT_S
  if [ "$TROUBLE" != 0 ]; then
    kill -USR2 "${PROXIES[@]}"
    note "trouble: path to the store is back"
  fi
  sleep 3.7
}

for n in $(seq $ROUNDS); do
  [ $SECONDS -lt 108 ] || break
  round "$n"
done

# DRAIN: a request reaches a worker later than drain_ms after it was gone, over a host in touch: contact_ms after its path was back.
late=$(awk -v drain=$DRAIN_MS -v contact=$((CONTACT_MS + SLACK_MS)) '
/path to the store is back/ { back = $1 }
/path to the store cut/ { back = 1e18 }
/left acknowledged/ { left[$3] = $1 }
/ runs request=/ { if (($3 in left) && $1 > left[$3] + drain && $1 > back + contact) n++ }
END { print n + 0 }' "$RECORD")
result="requests that reached a worker late, over hosts in touch: $late"
note "$result"
echo "$result"
[ "$late" = 0 ]
