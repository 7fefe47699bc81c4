#!/usr/bin/env bash
# Builds the project, runs a small fleet on loopback, kills a host, and shows that answers and bill
# agree. Exits with 0 only if they do.
set -eu
cd "$(dirname "$0")/.."

packages="gcc g++ make pkg-config curl jq libtalloc-dev libtevent-dev libprotobuf-c-dev libhttp-parser-dev
  libcurl4-openssl-dev libglib2.0-dev libcunit1-dev libjansson-dev libxxhash-dev libssl-dev libtomlplusplus-dev"
missing=$(for p in $packages; do dpkg -s "$p" >/dev/null 2>&1 || echo "$p"; done)
if [ -n "$missing" ]; then
  echo "== Installing: $missing"
  apt-get update -q >/dev/null
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q $missing >/dev/null
fi

echo "== Building"
make -s -j"$(nproc)" all

# shellcheck source=tests/process/fleet.bash
PORT_BASE=${PORT_BASE:-23000}
. tests/process/fleet.bash

echo "== Starting the store's stand-in, two model engines, one booking service, three hosts"
start_store
start_engine 0
start_engine 1
start_service 0
for i in 0 1 2; do start_host $i; done

echo "== Applying ticket 1 (budget of 100,000 tokens)"
first_ticket 100000 >"$WORK/ticket-1.toml"
"$BIN/sapphirepond" check "$WORK/ticket-1.toml"
apply_ticket "$WORK/ticket-1.toml"
for i in 0 1 2; do eventually is_ready $i; done
"$BIN/sapphirepond" ticket status --settings "$WORK/host-0.toml" || true

echo "== Sending 30 model requests and 10 bookings over all hosts"
tokens=0
for n in $(seq 1 30); do
  answer=$(chat_completion $((n % 3)) "How level is court $n?")
  used=$(jq '.usage.prompt_tokens + .usage.completion_tokens' <<<"$answer")
  tokens=$((tokens + used))
done
for n in $(seq 1 10); do
  status=$(create_booking $((n % 3)) "b-$n" "{\"court\":$n}" | tail -1)
  [ "$status" = 201 ] || [ "$status" = 200 ] || { echo "booking b-$n: status $status"; exit 1; }
  tokens=$((tokens + 10))
done
echo "answers: 40, tokens used: $tokens"

echo "== Streaming one answer"
chat_completion 0 "A long report, please." ',"stream":true,"stream_options":{"include_usage":true}' >"$WORK/stream.txt"
grep -c '^data: {' "$WORK/stream.txt" | sed 's/^/events: /'
grep -q '^data: \[DONE\]' "$WORK/stream.txt"
tokens=$((tokens + $(grep '^data: {' "$WORK/stream.txt" | sed 's/^data: //' | jq -s '[.[].usage // empty | .prompt_tokens + .completion_tokens] | last')))

echo "== Draining host-1"
stop host-1 TERM
echo "== Killing host-2"
stop host-2 KILL || true
held=$(budget_field granted)
echo "== Draining host-0"
stop host-0 TERM
echo "tokens in answers: $tokens"
echo "granted before the last drain: $held"
echo "granted after it: $(budget_field granted), of them spent as reported: $(budget_field spent)"
[ "$(budget_field granted)" -ge "$tokens" ]
[ "$(budget_field granted)" -le "$held" ]
echo "Demo complete: the bill covers the answers; the rest is what the killed host held."
