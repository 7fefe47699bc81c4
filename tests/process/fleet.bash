# Functions that start a small fleet of real processes on loopback, for process tests and the demo.
# Source it; it cleans up at exit. Every process is ended by its own id.

BIN=${BIN:-build/release}
WORK=$(mktemp -d)
PORT_BASE=${PORT_BASE:-22000}
declare -A PID=()
API_KEY=demo-key

# Ends one process by name and waits for it. $2 is the signal.
stop ()
{
  local pid=${PID[$1]:-}
  [ -n "$pid" ] || return 0
  kill "-${2:-TERM}" "$pid" 2>/dev/null
  wait "$pid" 2>/dev/null
  local rc=$?
  unset "PID[$1]"
  return $rc
}

stop_all ()
{
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2>/dev/null
    kill -KILL "${PID[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$WORK"
}
trap stop_all EXIT

# Runs a command until it succeeds; at most 30 seconds.
eventually ()
{
  local n=0
  until "$@" >/dev/null 2>&1; do
    n=$((n + 1))
    [ $n -lt 300 ] || return 1
    sleep 0.1
  done
}

port () { echo $((PORT_BASE + $1)); }
is_listening () { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# start NAME PORT COMMAND...: starts a process and waits until it listens.
start ()
{
  local name=$1 p=$2
  shift 2
  "$@" >"$WORK/$name.out" 2>"$WORK/$name.log" &
  PID[$name]=$!
  eventually is_listening "$p" || { echo "$name does not start:"; tail -5 "$WORK/$name.log"; return 1; }
}

PLATFORM_PORT=$(port 0)
start_platform () { start platform "$PLATFORM_PORT" "$BIN/tests/standins/standin_store" --listen "127.0.0.1:$PLATFORM_PORT"; }
start_engine () { start "engine-$1" "$(port $((10 + $1)))" "$BIN/tests/standins/standin_engine" --listen "127.0.0.1:$(port $((10 + $1)))" --token-ms "${TOKEN_MS:-2}"; }
start_service () { start "service-$1" "$(port $((20 + $1)))" "$BIN/tests/standins/standin_service" --listen "127.0.0.1:$(port $((20 + $1)))"; }

DATA_CENTRES=(uppsala-a malmo-a umea-a)
REGIONS=(svealand gotaland norrland)

host_settings ()
{
  local i=$1
  cat <<TOML
[host]
name = "host-$i"
data_centre = "${DATA_CENTRES[$((i % 3))]}"
region = "${REGIONS[$((i % 3))]}"

[listen]
callers = "127.0.0.1:$(port $((100 + i)))"
operators = "127.0.0.1:$(port $((300 + i)))"

[platform]
address = "127.0.0.1:$PLATFORM_PORT"

[drain]
grace_ms = 200
deadline_ms = 20000

[[data_centre]]
name = "uppsala-a"
region = "svealand"

[[data_centre]]
name = "malmo-a"
region = "gotaland"

[[data_centre]]
name = "umea-a"
region = "norrland"
TOML
}

start_host ()
{
  host_settings "$1" >"$WORK/host-$1.toml"
  start "host-$1" "$(port $((300 + $1)))" "$BIN/sapphirepond" serve --settings "$WORK/host-$1.toml"
}

# Prints a first ticket: one account, one budget, two engines, one booking service.
first_ticket ()
{
  local limit=${1:-100000}
  cat <<TOML
ticket = 1

[[account]]
name = "klubbarna"
keys = ["sha256:$(printf '%s' "$API_KEY" | sha256sum | cut -d' ' -f1)"]
priority = 5

[[budget]]
name = "klubbarna"
account = "klubbarna"
limit = $limit

[[pool]]
name = "modell-tjanst"
kind = "model"

[[pool.server]]
name = "engine-0"
address = "127.0.0.1:$(port 10)"
data_centre = "uppsala-a"
region = "svealand"
max_in_flight = 64

[[pool.server]]
name = "engine-1"
address = "127.0.0.1:$(port 11)"
data_centre = "malmo-a"
region = "gotaland"
max_in_flight = 64

[[pool]]
name = "boknings-tjanst"
kind = "service"

[[pool.server]]
name = "service-0"
address = "127.0.0.1:$(port 20)"
data_centre = "uppsala-a"
region = "svealand"
max_in_flight = 64

[[pool.call]]
method = "POST"
path_prefix = "/bookings"
idempotent = false
price = 10

[[pool.call]]
method = "GET"
path_prefix = "/"
idempotent = true
price = 1
TOML
}

apply_ticket () { "$BIN/sapphirepond" ticket apply --settings "$WORK/host-0.toml" "$1"; }

is_ready () { curl -sf "http://127.0.0.1:$(port $((300 + $1)))/readyz"; }

# model HOST TEXT [extra JSON]: prints the answer's body.
model ()
{
  curl -s -m 20 -H "Authorization: Bearer $API_KEY" \
    -d "{\"model\":\"modell-tjanst\",\"max_tokens\":40,\"messages\":[{\"role\":\"user\",\"content\":\"$2\"}]${3:-}}" \
    "http://127.0.0.1:$(port $((100 + $1)))/v1/chat/completions"
}

# book HOST KEY BODY: prints the status and the answer's body.
book ()
{
  curl -s -m 20 -w '\n%{http_code}\n' -H "Authorization: Bearer $API_KEY" -H "Idempotency-Key: $2" -d "$3" \
    "http://127.0.0.1:$(port $((100 + $1)))/v1/pools/boknings-tjanst/bookings"
}

# The store's rows of one account's budget.
budget_json () { "$BIN/sapphirepond" budget show --settings "$WORK/host-0.toml" --json klubbarna 2>/dev/null; }
budget_field () { budget_json | jq ".$1"; }
platform_faults () { curl -sf -d "$1" "http://127.0.0.1:$PLATFORM_PORT/admin/faults" >/dev/null; }
state_of () { curl -sf "http://127.0.0.1:$(port $((300 + $1)))/v1/state"; }
# faults_of PORT JSON: switches a server stand-in's faults.
faults_of () { curl -sf -d "$2" "http://127.0.0.1:$(port "$1")/admin/faults" >/dev/null; }

# check WHAT COMMAND...: counts the command's success or failure.
passed=0
failed=0
check ()
{
  local what=$1
  shift
  if "$@"; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $what"
  fi
}
