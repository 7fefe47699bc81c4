#!/usr/bin/env bash
# Process and server failures in a running fleet: three hosts in three data centres and the stand-ins of the store, of
# two model engines and of a booking service. Checks do not depend on timing. The last line is
# "process: N passed, N failed".
set -u
cd "$(dirname "$0")/../.." || exit 1
PORT_BASE=${PORT_BASE:-25000}
TOKEN_MS=5
# shellcheck source=tests/process/fleet.bash
. tests/process/fleet.bash

equal () { [ "$1" = "$2" ] || { echo "  got $1, expected $2"; return 1; }; }
at_most () { [ "$1" -le "$2" ] || { echo "  got $1, at most $2"; return 1; }; }
at_least () { [ "$1" -ge "$2" ] || { echo "  got $1, at least $2"; return 1; }; }
booking_status () { create_booking "$@" | tail -1; }
kind_and_outcome () { jq -r '.error.kind + " " + .error.outcome'; }
version_is () { [ "$(host_state "$1" | jq .version)" = "$2" ]; }
engine_stat () { curl -s "http://127.0.0.1:$(port $((10 + $1)))/admin/stats" | jq ".$2"; }
booking_runs () { curl -s "http://127.0.0.1:$(port 20)/admin/stats" | jq "[.runs[]] | add // 0"; }
engines_cancelled () { [ $(($(engine_stat 0 cancelled) + $(engine_stat 1 cancelled))) -ge "$1" ]; }

start_store
start_engine 0
start_engine 1
start_service 0
for i in 0 1 2; do start_host $i; done
check "a host without configuration is not ready" equal "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$(port 300)/readyz")" 503
check "it responds to clients with not_ready" equal "$(chat_completion 0 'Too early?' | kind_and_outcome)" "not_ready not_run"
first_ticket 60000 >"$WORK/ticket-1.toml"
apply_ticket "$WORK/ticket-1.toml" >/dev/null
for i in 0 1 2; do check "host-$i becomes ready" eventually is_ready $i; done
check "applying the same ticket again is accepted" equal "$(apply_ticket "$WORK/ticket-1.toml")" "ticket 1 was accepted before"
sed 's/^limit = .*/limit = 1/' "$WORK/ticket-1.toml" >"$WORK/other-1.toml"
apply_ticket "$WORK/other-1.toml" >"$WORK/other.out" 2>&1
check "a different ticket with the same number is rejected" grep -q "rejected" "$WORK/other.out"

# Guards against accepting a ticket when the hosts use the platform's interface and read no tickets.
(host_settings 0; printf '\n[callers]\ninterface = "platform"\n') >"$WORK/platform.toml"
"$BIN/sapphirepond" ticket apply --settings "$WORK/platform.toml" "$WORK/ticket-1.toml" 2>"$WORK/platform.out"
check "a ticket is rejected with the platform's interface" equal "$?" 4
check "the message gives the reason" grep -q "not available" "$WORK/platform.out"

# Guards against a ready host that does not serve model requests or bookings.
check "a model request is answered" equal "$(chat_completion 1 'Is court 3 level?' | jq -r '.choices[0].finish_reason')" length
check "a booking is answered" equal "$(booking_status 2 b-1 '{"court":1}')" 200

# Guards against requests that wait for an unresponsive store, and against a booking that is reported as not run
# although it ran.
set_store_faults '{"silent":true}'
check "a model request is served from tokens granted before" \
  equal "$(chat_completion 1 'Quick answer please.' | jq -r '.choices[0].finish_reason')" length
before=$(booking_runs)
check "a booking needs no store" equal "$(booking_status 2 b-2 '{"court":2}')" 200
check "it ran once" equal "$(booking_runs)" $((before + 1))
set_store_faults '{"silent":false}'
sed 's/^ticket = 1/ticket = 2/; s/^limit = .*/limit = 61000/' "$WORK/ticket-1.toml" >"$WORK/ticket-2.toml"
check "a ticket is accepted after the outage" apply_ticket "$WORK/ticket-2.toml" >/dev/null
for i in 0 1 2; do check "it is in force on host-$i" eventually version_is $i 2; done

# Guards against counting a grant twice when the store's response is lost and the transaction is retried.
set_store_faults '{"lost":0.5,"late":0.2}'
for n in $(seq 1 20); do chat_completion $((n % 3)) "How level is court $n?" >/dev/null; done
set_store_faults '{"lost":0,"late":0}'
chat_completion 0 "Once more." >/dev/null
check "the granted tokens are within the limit" at_most "$(budget_field granted)" 61000

# Guards against sending a booking again when it ran but its response was lost, and against a refused booking that is
# not reported as not run.
set_server_faults 20 '{"run_then_close":1}'
before=$(booking_runs)
check "a booking whose response is lost is not retried" equal "$(create_booking 1 b-3 '{"court":3}' | head -1 | kind_and_outcome)" "server_failed unknown"
check "it ran once" equal "$(booking_runs)" $((before + 1))
set_server_faults 20 '{"run_then_refuse":1}'
check "a booking that ran and is answered 503 is not reported as not run" equal "$(create_booking 1 b-5 '{"court":5}' | head -1 | kind_and_outcome)" "refusal_unproved unknown"
check "it ran once, too" equal "$(booking_runs)" $((before + 2))
set_server_faults 20 '{"refuse":1}'
check "a refused booking is reported as not run" equal "$(create_booking 1 b-4 '{"court":4}' | head -1 | jq -r .error.outcome)" not_run

# Guards against a model engine that continues to generate after the client has disconnected.
curl -s -m 0.4 -N -H "Authorization: Bearer $API_KEY" -o /dev/null \
  -d '{"model":"modell-tjanst","max_tokens":400,"stream":true,"messages":[{"role":"user","content":"long"}]}' \
  "http://127.0.0.1:$(port 100)/v1/chat/completions"
check "the engine stops when the client disconnects" eventually engines_cancelled 1

# Guards against a graceful shutdown that truncates a stream.
(chat_completion 0 "A long report." ',"stream":true' | sed 's/max_tokens/&/' >"$WORK/stream.txt") &
reader=$!
sleep 0.1
stop host-0 TERM
code=$?
wait $reader
check "the drained host exits with 0" equal "$code" 0
check "its stream is complete" grep -q '^data: \[DONE\]' "$WORK/stream.txt"
start_host 0
check "the host is ready again" eventually is_ready 0

# Guards against accepting a request late in a long drain, when clients can use other hosts, and truncating it at the
# drain's deadline.
(curl -s -m 20 -N -H "Authorization: Bearer $API_KEY" -o /dev/null \
  -d '{"model":"modell-tjanst","max_tokens":1500,"stream":true,"messages":[{"role":"user","content":"long"}]}' \
  "http://127.0.0.1:$(port 100)/v1/chat/completions") &
reader=$!
sleep 0.2
kill -TERM "${PID[host-0]}"
sleep 3.2
check "a request 3 s into a long drain is refused" equal "$(chat_completion 0 'Late?' | kind_and_outcome)" "draining not_run"
wait "${PID[host-0]}" $reader
unset "PID[host-0]"
start_host 0
check "the host is ready after the long drain" eventually is_ready 0

# Guards against accepting a request shortly before the deadline of a short drain and truncating it.
stop host-0 TERM
host_settings 0 | sed 's/^deadline_ms = .*/deadline_ms = 5000/' >"$WORK/short-0.toml"
start host-0 "$(port 300)" "$BIN/sapphirepond" serve --settings "$WORK/short-0.toml"
check "the host with a short drain is ready" eventually is_ready 0
(curl -s -m 20 -N -H "Authorization: Bearer $API_KEY" -o /dev/null \
  -d '{"model":"modell-tjanst","max_tokens":1500,"stream":true,"messages":[{"role":"user","content":"long"}]}' \
  "http://127.0.0.1:$(port 100)/v1/chat/completions") &
reader=$!
sleep 0.2
kill -TERM "${PID[host-0]}"
sleep 2.6
check "a request late in a drain is refused" equal "$(chat_completion 0 'Late?' | kind_and_outcome)" "draining not_run"
wait "${PID[host-0]}" $reader
unset "PID[host-0]"
start_host 0
check "the host is ready after the short drain" eventually is_ready 0

# Guards against losing settings on a reload.
kill -HUP "${PID[host-1]}"
reload_logged () { grep -q "event=reload" "$WORK/host-1.out"; }
check "a reload is logged" eventually reload_logged
check "the host serves after it" equal "$(chat_completion 1 'Still there?' | jq -r '.choices[0].finish_reason')" length

# Guards against sending requests to a server during its planned maintenance.
cat >"$WORK/ticket-3.toml" <<TOML
ticket = 3
[[stop]]
name = "hall"
servers = ["engine-0"]
starts = 2020-01-01T00:00:00Z
ends = 2099-01-01T00:00:00Z
TOML
apply_ticket "$WORK/ticket-3.toml" >/dev/null
for i in 0 1 2; do check "host-$i has the ticket with the planned stop" eventually version_is $i 3; done
before=$(engine_stat 0 started)
for n in $(seq 1 9); do chat_completion $((n % 3)) "Question $n" >/dev/null; done
check "the stopped engine gets no requests" equal "$(engine_stat 0 started)" "$before"

# Guards against a host that ends because its settings change, or that it is stopped, while it starts. It waits for its settings, which are a pipe.
start_with_signal ()
{
  local pid rc
  rm -f "$WORK/pipe.toml"
  mkfifo "$WORK/pipe.toml"
  "$BIN/sapphirepond" serve --settings "$WORK/pipe.toml" >"$WORK/pipe.log" 2>&1 &
  pid=$!
  PID[pipe]=$pid
  sleep 0.5
  kill "-$1" "$pid"
  host_settings 9 >"$WORK/host-9.toml"
  timeout 5 cp "$WORK/host-9.toml" "$WORK/pipe.toml"
  if [ "$1" = HUP ]; then
    eventually is_listening "$(port 309)" || return 1
    timeout 5 cp "$WORK/host-9.toml" "$WORK/pipe.toml" # the settings are read again
    stop pipe KILL
    return 0
  fi
  unset "PID[pipe]"
  wait "$pid"
}
check "SIGHUP while a host starts does not end it" start_with_signal HUP
check "SIGTERM while a host starts stops it in order" start_with_signal TERM

# Guards against granting the tokens of a killed host again.
stop host-2 KILL 2>/dev/null
stop host-0 TERM
stop host-1 TERM
check "the granted tokens are still within the limit" at_most "$(budget_field granted)" 61000
check "the granted tokens cover the spent ones" at_least "$(budget_field granted)" "$(budget_field spent)"

echo "process: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
