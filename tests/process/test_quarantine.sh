#!/usr/bin/env bash
# A request that ends each engine which gets it, three hosts that tell each other of that, and one that starts
# again. The last line is "quarantine-processes: N passed, N failed".
set -u
cd "$(dirname "$0")/../.." || exit 1
PORT_BASE=${PORT_BASE:-30000}
PEERS=1
# shellcheck source=tests/process/fleet.bash
. tests/process/fleet.bash

ALLOWED_ENDS=6 # three, and three more that may reach an engine
ends=0

start_fragile_engine ()
{
  start "engine-$1" "$(port $((10 + $1)))" "$BIN/tests/standins/standin_engine" \
    --listen "127.0.0.1:$(port $((10 + $1)))" --token-ms 2 --exit-on "end of the engine"
}
# Starts engines that have ended again, and counts their ends.
revive ()
{
  local i
  for i in 0 1; do
    kill -0 "${PID[engine-$i]}" 2>/dev/null && continue
    wait "${PID[engine-$i]}" 2>/dev/null
    ends=$((ends + 1))
    start_fragile_engine "$i"
  done
}
ask () { [ "$(chat_completion "$1" "Question $RANDOM" | jq -r '.choices[0].finish_reason')" = length ]; }
end_engine () { chat_completion "$1" "end of the engine"; }
is_refused () { end_engine "$1" | grep -q quarantined; }
three_hosts () { [ "$(host_state "$1" | jq .hosts)" = 3 ]; }

start_store
start_fragile_engine 0
start_fragile_engine 1
start_service 0
for i in 0 1 2; do start_host $i; done
first_ticket 1000000 >"$WORK/ticket-1.toml"
apply_ticket "$WORK/ticket-1.toml" >/dev/null
for i in 0 1 2; do check "host-$i becomes ready" eventually is_ready $i; done
for i in 0 1 2; do check "host-$i knows the others" eventually three_hosts $i; done

# Guards against a request that ends engine after engine, whichever host gets it.
for n in $(seq 12); do
  end_engine $((n % 3)) >/dev/null
  # Requests of others find out that the engine is gone.
  for i in 0 1 2; do ask $i; done
  sleep 1
  revive
done
check "few engines end ($ends)" [ "$ends" -le $ALLOWED_ENDS ]
check "some engine has ended" [ "$ends" -gt 0 ]
for i in 0 1 2; do
  check "host-$i refuses the request" is_refused $i
  check "host-$i answers others" eventually ask $i
done

# Guards against a host that has forgotten, after a restart, what ends engines.
stop host-1 KILL
start_host 1
check "host-1 becomes ready again" eventually is_ready 1
check "host-1 still refuses the request" eventually is_refused 1
revive
check "no more engines end ($ends)" [ "$ends" -le $ALLOWED_ENDS ]
echo "quarantine-processes: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
