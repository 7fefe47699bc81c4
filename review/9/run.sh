#!/usr/bin/env bash
# A client whose requests have many header lines, all together within max_header_bytes, and workers with some headers more than usual. See claim.txt.
set -u
. "$(dirname "$0")/../rig-2/lib.bash"

begin
start_store "${PORT[0]}"
config
host_settings host-0 "${PORT[1]}" "${PORT[2]}" "${PORT[3]}" "${PORT[4]}" "${PORT[5]}"
for n in 0 1 2; do
  worker "i-$n" bokning "${PORT[$((11 + n))]}" --work-ms 20 --headers 4 --header-bytes 1000
done
start_host host-0
eventually 20 is_ready "${PORT[2]}" || cannot_run "the host is not ready"
sleep 0.5

# Each second request of two clients has them, after one that was answered on the same connection. About 13,000 bytes of header lines in both; max_header_bytes is 16384.
if [ "$TROUBLE" = 0 ]; then
  lines=(--alternate 1 --headers 18 --header-bytes 721)
else
  lines=(--alternate 1 --headers 310 --header-bytes 40)
fi
"$RIG" book --ports "${PORT[1]}" --clients 4 --for-ms 4000 --retries 0 --prefix b --log "$RECORD" &
others=$!
"$RIG" book --ports "${PORT[1]}" --clients 2 --for-ms 4000 --retries 0 --prefix h --log "$RECORD" "${lines[@]}"
wait "$others"

awk '
  / run / { split ($4, i, "="); ran[i[2]] = 1 }
  / answered / {
    split ($3, i, "="); split ($4, s, "=")
    kind = i[2] ~ /m$/ ? "m" : "b"
    if (s[2] == 200) answered[kind]++
    if (s[2] == 0 && ran[i[2]]) { lost[kind]++; if (lost[kind] <= 5) print "LOST: id=" i[2] " has run, and its connection was closed without an answer" }
  }
  END {
    print "many lines: answered " answered["m"] + 0 ", run and closed without an answer " lost["m"] + 0 "; others: answered " answered["b"] + 0 ", lost " lost["b"] + 0
    exit lost["m"] + lost["b"] > 3
  }' "$RECORD" >"$WORK/verdict"
verdict=$?
cat "$WORK/verdict" | tee -a "$RECORD"
[ "$(grep -c ' answered id=b.* status=200 ' "$RECORD")" -gt 100 ] || cannot_run "too few bookings were answered"
exit $verdict
