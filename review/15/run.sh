#!/usr/bin/env bash
# A worker fails part of its requests: it runs them and answers 503, without the header that says that it did not. Clients repeat
# a booking that is refused, as the pages let them. Exits with 1 if a booking that ran was answered 503, 0 if not, 2 if the script could
# not run.
HERE=$(cd "$(dirname "$0")" && pwd)
cd "$HERE/../.." || exit 2
. review/rig-3/lib.bash

COUNT=120
GAP_MS=50
if [ "$TROUBLE" = 1 ]; then FAIL=0.45; else FAIL=0; fi

start_store
put op config "$(config 7)"
# One of eight workers, for the 6 s of the load.
for n in 0 1 2 3 4 5 6 7; do
  take_port
  start "worker-$n" "$TAKEN" $RIG worker --port "$TAKEN" --id "w-$n" --work-ms 60 --fail-books "$([ $n -eq 0 ] && echo $FAIL || echo 0)" \
    --fail-text "503 Service Unavailable"
  put servers "w-$n" "$(server_row app "$TAKEN" ready "$(date +%s%3N)" 1)"
done
for n in 0 1 2; do start_host $n; done
for n in 0 1 2; do wait_ready $n; done

all="${CALLERS[0]},${CALLERS[1]},${CALLERS[2]}"
$RIG load --ports "$all" --id book --method POST --path /book/ --body x --count $COUNT --gap-ms $GAP_MS
# Once more under an id of its own, each booking that was refused.
refused=$(sed -n 's/.*client answer id=\(book-[0-9]*\) status=503 .*/\1/p' "$RECORD")
for id in $refused; do
  $RIG ask --port "${CALLERS[0]}" --method POST --path "/book/${id#book-}" --body x --id "again-$id" >>"$WORK/again"
done
awk '
$2 == "worker" && $4 == "runs" { split($5, i, "="); ran[i[2]]++ }
$2 == "client" && $3 == "answer" { split($4, i, "="); split($5, s, "="); status[i[2]] = s[2]; n++ }
END {
  for (id in status)
    if (status[id] == 503 && id in ran) { broken++; twice += ("again-" id) in ran }
  for (id in status) good += status[id] == 200
  printf "bookings=%d answered_200=%d answered_503_and_ran=%d of_these_run_again_as_repeats=%d\n", n, good, broken, twice
}' "$RECORD" >"$WORK/result"
tee -a "$RECORD" <"$WORK/result"
grep -q "answered_200=0 " "$WORK/result" && cannot_run "nothing was booked"
grep -q "answered_503_and_ran=0 " "$WORK/result" || exit 1
exit 0
