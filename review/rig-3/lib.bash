# Functions of the third review's scripts: a small fleet on loopback with the settings of deploy/settings.toml.template.
# Meant to be sourced in the root of the repository, with HERE set to the case's folder. Ends all that it started, by id.

TROUBLE=${TROUBLE:-1}
PROGRAM=target/sapphirepond
STORE=build/release/tests/standins/standin_store
RIG=build/review-3/rig
WORK=$(mktemp -d)
export RECORD=$HERE/record.txt
: >"$RECORD"
declare -A PID=()

cannot_run () { echo "cannot run: $*" | tee -a "$RECORD"; exit 2; }
say () { echo "$($RIG now) script $*" >>"$RECORD"; }

stop_all ()
{
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2>/dev/null
    kill -KILL "${PID[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  [ -z "${KEEP_LOGS:-}" ] || cp "$WORK"/*.log "$KEEP_LOGS"
  rm -rf "$WORK"
}
trap stop_all EXIT

for file in "$PROGRAM" "$STORE" "$RIG"; do
  [ -x "$file" ] || cannot_run "$file is missing"
done

is_listening () { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# eventually COMMAND...: repeats it until it succeeds, for 15 s at most.
eventually ()
{
  local n=0
  until "$@" >/dev/null 2>&1; do
    n=$((n + 1))
    [ $n -lt 150 ] || return 1
    sleep 0.1
  done
}

# start NAME PORT COMMAND...
start ()
{
  local name=$1 port=$2
  shift 2
  "$@" >"$WORK/$name.out" 2>"$WORK/$name.log" &
  PID[$name]=$!
  eventually is_listening "$port" || cannot_run "$name does not listen"
}

signal () { kill "-$2" "${PID[$1]}" && say "signal $2 to $1"; }
kill_now () { kill -KILL "${PID[$1]}"; wait "${PID[$1]}" 2>/dev/null; unset "PID[$1]"; say "killed $1"; }

mapfile -t PORTS < <($RIG ports 40)
NEXT_PORT=0
take_port () { TAKEN=${PORTS[$NEXT_PORT]}; NEXT_PORT=$((NEXT_PORT + 1)); }

start_store ()
{
  take_port
  STORE_PORT=$TAKEN
  start store "$STORE_PORT" $STORE --listen "127.0.0.1:$STORE_PORT"
}

# put TABLE KEY JSON
put ()
{
  printf '%s' "$3" >"$WORK/row.json"
  $RIG put "$STORE_PORT" "$1" "$2" "$WORK/row.json" || cannot_run "row $1/$2 was not written"
  say "row $1/$2 $3"
}

ZONES=(uppsala-a malmo-a umea-a)
REGIONS=(svealand gotaland norrland)

# start_host N: host N with the settings of deploy/settings.toml.template, filled in. Sets CALLERS[N] and READY[N].
declare -a CALLERS=() READY=()
host_settings ()
{
  local n=$1 ports=("${@:2}")
  cat <<TOML
[host]
name = "frontend-$n"
data_centre = "${ZONES[$n]}"
region = "${REGIONS[$n]}"

[[data_centre]]
name = "uppsala-a"
region = "svealand"

[[data_centre]]
name = "malmo-a"
region = "gotaland"

[[data_centre]]
name = "umea-a"
region = "norrland"

[listen]
callers = "127.0.0.1:${ports[0]}"
readiness = "127.0.0.1:${ports[1]}"
operators = "127.0.0.1:${ports[2]}"
peers = "127.0.0.1:${ports[3]}"
tunnels = "127.0.0.1:${ports[4]}"

[platform]
address = "127.0.0.1:$STORE_PORT"
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
memory_mb = 260
link_mbit_s = 1000.0

[retries]
share = 0.2
window_s = 10
allowance = 56

[drain]
deadline_s = 8
TOML
}

start_host ()
{
  local n=$1 p=() i
  for i in 1 2 3 4 5; do
    take_port
    p+=("$TAKEN")
  done
  CALLERS[$n]=${p[0]}
  READY[$n]=${p[1]}
  host_settings "$n" "${p[@]}" >"$WORK/host-$n.toml"
  restart_host "$n"
}

# restart_host N: starts it again with the settings that it had.
restart_host () { start "host-$1" "${READY[$1]}" env SAPPHIREPOND_SETTINGS="$WORK/host-$1.toml" $PROGRAM serve; }

wait_ready () { eventually $RIG ready "${READY[$1]}" || cannot_run "host $1 is not ready"; }

# server_row SERVICE PORT STATE BORN SEQUENCE [SLOTS]
server_row ()
{
  echo "{\"service\":\"$1\",\"address\":\"127.0.0.1:$2\",\"zone\":\"uppsala-a\",\"version\":\"v1\",\"slots\":${6:-6},\"state\":\"$3\",\"cold_remaining_ms\":0,\"sequence\":$5,\"born\":$4}"
}

# config VERSION: two routes to the service "app", one whose requests may be repeated and one whose may not.
config ()
{
  cat <<JSON
{"version":$1,"routes":[
{"name":"r-read","host":"site.example","path_prefix":"/read/","kind":"idempotent","timeout_ms":${TIMEOUT_MS:-5000},"target_latency_ms":${AIM_MS:-300},"priority":2,"service":"app","max_attempts":2,"allow_anonymous":false,"sticky":false,"resume_streams":false},
{"name":"r-book","host":"site.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":${TIMEOUT_MS:-5000},"target_latency_ms":${AIM_MS:-300},"priority":2,"service":"app","max_attempts":1,"allow_anonymous":false,"sticky":false,"resume_streams":false}],
"services":[{"name":"app","health_path":"/health","connection_limit":110,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"tenant-a","api_keys":["key-a"],"priority":1}]}
JSON
}
