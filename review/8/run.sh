#!/usr/bin/env bash
# All hosts are killed three times while streams are open whose largest size is far above what they deliver. See claim.txt.
set -u
. "$(dirname "$0")/../rig-2/lib.bash"

PREPAID=100000
PROMPT=1000
MOST=3000   # output tokens, at most
EVENT=6     # tokens of an event

begin
start_store "${PORT[0]}"
config
host_settings host-0 "${PORT[1]}" "${PORT[2]}" "${PORT[3]}" "${PORT[4]}" "${PORT[5]}"
host_settings host-1 "${PORT[6]}" "${PORT[7]}" "${PORT[8]}" "${PORT[9]}" "${PORT[10]}"
host_settings host-2 "${PORT[11]}" "${PORT[12]}" "${PORT[13]}" "${PORT[14]}" "${PORT[15]}"
for n in 0 1 2; do
  worker "m-$n" modell "${PORT[$((16 + n))]}" --events 25 --event-ms 150
done
hosts_ready ()
{
  local p
  for p in 2 7 12; do
    eventually 20 is_ready "${PORT[$p]}" || cannot_run "a host is not ready"
  done
}
for n in 0 1 2; do start_host "host-$n"; done
hosts_ready
# The hosts know each other, and nothing has been disturbed for contact_ms.
sleep 4

callers="${PORT[1]},${PORT[6]},${PORT[11]}"
for round in 1 2 3; do
  "$RIG" stream --ports "$callers" --clients 9 --count 1 --for-ms 8000 --deadline-ms 12000 --path /model/ --tokens "$PROMPT,$MOST" --key key-c --prefix "r$round-" --log "$RECORD" &
  clients=$!
  if [ "$TROUBLE" = 1 ]; then
    sleep 1.5
    for n in 0 1 2; do kill -KILL "${PID[host-$n]}"; done
    echo "$(awk '{ print $1 }' /proc/uptime) all hosts are killed" >>"$RECORD"
    sleep 1
    for n in 0 1 2; do start_host "host-$n"; done
  fi
  wait "$clients"
  hosts_ready
  sleep 4
done
# All machines are in touch again. Small requests: 300 tokens at most each, 9,000 together.
"$RIG" stream --ports "$callers" --clients 3 --count 10 --for-ms 60000 --deadline-ms 12000 --path /model/ --tokens 150,150 --key key-c --prefix last- --log "$RECORD"

awk -v prepaid=$PREPAID -v prompt=$PROMPT -v event=$EVENT '
  / answered / {
    split ($3, i, "="); split ($4, s, "="); split ($6, e, "=")
    n++
    if (i[2] ~ /^last-/) { if (s[2] == 402) denied++; else if (s[2] == 200) served++; else other++ }
    else if (e[2] > 0) { used += prompt + event * e[2]; begun++ }
  }
  END {
    print "streams before that began: " begun + 0 ", tokens that their clients got, prompts included: " used + 0 " of " prepaid
    print "small requests at the end: served " served + 0 ", 402 " denied + 0 ", others " other + 0 "; allowed are " 5 + n / 500
    exit denied > 5 + n / 500 && used + 9000 < prepaid * 0.9
  }' "$RECORD" >"$WORK/verdict"
verdict=$?
tee -a "$RECORD" <"$WORK/verdict"
grep -q 'began: [1-9]' "$WORK/verdict" || cannot_run "no stream began"
exit $verdict
