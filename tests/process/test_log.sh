#!/usr/bin/env bash
# Logging under load. Guards against requests that block when the reader of the log does not keep up, against dropped
# lines that are not counted in the log, and against more than one line per successful request.
# The last line is "log: N passed, N failed".
set -u
cd "$(dirname "$0")/../.." || exit 1
PORT_BASE=${PORT_BASE:-26400}
# shellcheck source=tests/process/fleet.bash
. tests/process/fleet.bash

# run_load SECONDS: sends 300 bookings and look-ups per second to host 0; writes the report to $WORK/load.json.
run_load ()
{
  "$BIN/sapphirepond" load --target "127.0.0.1:$(port 100)" --key "$API_KEY" --service boknings-tjanst \
    --mix model=0,stream=0,booking=1,look_up=1 --rate 300 --seconds "$1" --deadline-ms 5000 --seed 1 \
    --output "$WORK/load.json" >/dev/null 2>&1
}
report_field () { jq -r "$1" "$WORK/load.json"; }

start_store
start_engine 0
start_engine 1
start_service 0

# A stalled reader: the pipe is open, but nothing is read from it.
mkfifo "$WORK/log"
exec 7<>"$WORK/log"
host_settings 0 >"$WORK/host-0.toml"
"$BIN/sapphirepond" serve --settings "$WORK/host-0.toml" >&7 2>&1 &
PID[host-0]=$!
check "the host starts" eventually is_listening "$(port 300)"
first_ticket 10000000 >"$WORK/ticket-1.toml"
apply_ticket "$WORK/ticket-1.toml" >/dev/null
check "the host becomes ready" eventually is_ready 0
run_load 4
check "every request succeeds while the log is not read" [ "$(report_field '[.host[].sent] | add')" = "$(report_field '[.host[].good] | add')" ]
check "no request blocks on the log" [ "$(report_field '[.host[].latency_us.max] | max')" -lt 1000000 ]
check "the host is still ready" eventually is_ready 0
timeout 3 cat <&7 >"$WORK/read.log"
run_load 1
timeout 2 cat <&7 >>"$WORK/read.log"
check "the log gives the number of dropped lines" grep -q "part=log event=dropped lines=" "$WORK/read.log"
stop host-0 TERM
exec 7>&-

# A reader that keeps up.
start_host 0
check "the host becomes ready again" eventually is_ready 0
run_load 2
sleep 1
requests=$(report_field '[.host[].good] | add')
lines=$(grep -c "part=relay" "$WORK/host-0.out")
check "a successful request is logged in one line" [ "$lines" = "$requests" ]
echo "log: $(grep "part=relay" "$WORK/host-0.out" | wc -c | awk -v n="$requests" '{ print int ($1 / n) }') bytes per request"
echo "log: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
