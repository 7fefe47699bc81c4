# Shell functions of the scripts: a small fleet of the deploy file's program on loopback. Meant to be sourced by a run.sh,
# which has set CASE to its folder. An EXIT trap ends all started processes by their ids and removes the temporary folder.

cd "$CASE/../.." || exit 2
TROUBLE=${TROUBLE:-1}
RIG=build/review/rig
RECORD=$CASE/record.txt
HOST=target/sapphirepond
STORE=build/release/tests/standins/standin_store
for program in "$RIG" "$HOST" "$STORE"; do
  [ -x "$program" ] || { echo "missing: $program (build of the deploy file, review/build.sh)"; exit 2; }
done
WORK=$(mktemp -d) || exit 2
declare -A PID=()
: >"$RECORD"

note () { echo "$("$RIG" now) $*" >>"$RECORD"; }

end_all ()
{
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2>/dev/null
    kill -KILL "${PID[$name]}" 2>/dev/null
  done
  { wait; } 2>/dev/null
  rm -rf "$WORK"
}
trap end_all EXIT

cannot_run () { note "cannot run: $*"; echo "cannot run: $*"; exit 2; }

next_port=$((20000 + RANDOM % 20000))
# take_port NAME: sets the variable NAME to a free port.
take_port ()
{
  next_port=$("$RIG" port "$next_port") || cannot_run "no port"
  printf -v "$1" %s "$next_port"
  next_port=$((next_port + 1))
}

start_store ()
{
  take_port STORE_PORT
  "$STORE" --listen "127.0.0.1:$STORE_PORT" >"$WORK/store.log" 2>&1 &
  PID[store]=$!
  for _ in $(seq 100); do "$RIG" post "$STORE_PORT" /admin/faults '{}' && return 0; sleep 0.05; done
  cannot_run "the store did not start"
}

# settings NAME ZONE REGION: what deploy/settings.toml.template gives for one host.
settings ()
{
  local callers="CALLERS_$1" readiness="READINESS_$1" operators="OPERATORS_$1" peers="PEERS_$1" tunnels="TUNNELS_$1"
  cat <<TOML
[host]
name = "$1"
data_centre = "$2"
region = "$3"

[[data_centre]]
name = "sudvestur-a"
region = "sudvestur"

[[data_centre]]
name = "nordur-a"
region = "nordur"

[listen]
callers = "127.0.0.1:${!callers}"
readiness = "127.0.0.1:${!readiness}"
operators = "127.0.0.1:${!operators}"
peers = "127.0.0.1:${!peers}"
tunnels = "127.0.0.1:${!tunnels}"

[platform]
address = "127.0.0.1:${STORE_OF_HOST:-$STORE_PORT}"
silence_ms = 3000

[callers]
interface = "platform"

[workers]
threads = 1

[limits]
max_header_bytes = 32768
max_body_bytes = 16777216
request_read_timeout_ms = 15000
max_streams = 3000
link_mbit_s = 1000.0

[retries]
share = 0.2
window_s = 10
allowance = 58

[drain]
deadline_s = 8
TOML
}

# make_host NAME ZONE REGION: takes ports and writes the settings of a host.
make_host ()
{
  for kind in CALLERS READINESS OPERATORS PEERS TUNNELS; do take_port "${kind}_$1"; done
  settings "$@" >"$WORK/$1.toml"
}

# start_host NAME: the command of the deploy file.
start_host ()
{
  SAPPHIREPOND_SETTINGS="$WORK/$1.toml" "$HOST" serve >>"$WORK/$1.log" 2>&1 &
  PID[$1]=$!
}

is_ready () { local port="READINESS_$1"; "$RIG" ready "${!port}" /v1/readiness "" "$2"; }
knows_hosts () { local port="OPERATORS_$1"; "$RIG" ready "${!port}" /v1/state "\"hosts\":$2," "$3"; }

# kill_host NAME: SIGKILL, as the platform's process kill.
kill_host ()
{
  kill -KILL "${PID[$1]}"
  { wait "${PID[$1]}"; } 2>/dev/null
  unset "PID[$1]"
}

put_config () { "$RIG" post "$STORE_PORT" /admin/put "{\"table\":\"op\",\"key\":\"config\",\"value\":$1}" || cannot_run "config"; }
