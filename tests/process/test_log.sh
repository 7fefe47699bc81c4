#!/usr/bin/env bash
# The log under load. Guards against a request that waits for whoever reads the log, against lines that are lost
# without a word, and against more than one line for a request that went well.
# The last line is "log: N passed, N failed".
set -u
cd "$(dirname "$0")/../.." || exit 1
PORT_BASE=${PORT_BASE:-26400}
# shellcheck source=tests/process/fleet.bash
. tests/process/fleet.bash

# load SECONDS: 300 bookings and look-ups a second at host 0; the report goes to $WORK/load.json.
load ()
{
  "$BIN/sapphirepond" load --target "127.0.0.1:$(port 100)" --key "$API_KEY" --service boknings-tjanst \
    --mix model=0,stream=0,booking=1,look_up=1 --rate 300 --seconds "$1" --deadline-ms 5000 --seed 1 \
    --output "$WORK/load.json" >/dev/null 2>&1
}
field () { jq -r "$1" "$WORK/load.json"; }

start_platform
start_engine 0
start_engine 1
start_service 0

# A reader that has stopped: the pipe is open, and nobody reads it.
mkfifo "$WORK/log"
exec 7<>"$WORK/log"
host_settings 0 >"$WORK/host-0.toml"
"$BIN/sapphirepond" serve --settings "$WORK/host-0.toml" >&7 2>&1 &
PID[host-0]=$!
check "the host starts" eventually is_listening "$(port 300)"
first_ticket 10000000 >"$WORK/ticket-1.toml"
apply_ticket "$WORK/ticket-1.toml" >/dev/null
check "the host becomes ready" eventually is_ready 0
load 4
check "every request is answered while nobody reads" [ "$(field '[.host[].sent] | add')" = "$(field '[.host[].good] | add')" ]
check "none of them waits for the reader" [ "$(field '[.host[].latency_us.max] | max')" -lt 1000000 ]
check "the host still answers" eventually is_ready 0
timeout 3 cat <&7 >"$WORK/read.log"
load 1
timeout 2 cat <&7 >>"$WORK/read.log"
check "the log says how many lines were dropped" grep -q "part=log event=dropped lines=" "$WORK/read.log"
stop host-0 TERM
exec 7>&-

# A reader that keeps up.
start_host 0
check "the host becomes ready again" eventually is_ready 0
load 2
sleep 1
requests=$(field '[.host[].good] | add')
lines=$(grep -c "part=relay" "$WORK/host-0.out")
check "a request that went well costs one line" [ "$lines" = "$requests" ]
echo "log: $(grep "part=relay" "$WORK/host-0.out" | wc -c | awk -v n="$requests" '{ print int ($1 / n) }') bytes a request"
echo "log: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
