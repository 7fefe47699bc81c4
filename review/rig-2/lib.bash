# Shell functions of the scripts of the second review: a small deployment on loopback addresses, with the command of the deploy file
# and settings as the template renders them. Meant to be sourced from review/N/run.sh.
#
# Exit codes of a script: 1 the rule was broken, 0 it held, 2 the case could not run.

CASE=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
RIG=$ROOT/build/review-2/rig
STORE=$ROOT/build/release/tests/standins/standin_store
PROGRAM=target/sapphirepond
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d)
declare -A PID=()

cannot_run ()
{
  echo "could not run: $*" | tee -a "$RECORD"
  exit 2
}

end_all ()
{
  for name in "${!PID[@]}"; do
    kill -CONT "${PID[$name]}" 2>/dev/null
    kill -KILL "${PID[$name]}" 2>/dev/null
  done
  # Processes that a supervisor of ours has started.
  for file in "$WORK"/*.pid; do
    [ ! -s "$file" ] || kill -KILL "$(cat "$file")" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$WORK"
}
trap end_all EXIT

say () { echo "$*" | tee -a "$RECORD"; }

# start NAME COMMAND...: starts a process in the repository's root.
start ()
{
  local name=$1
  shift
  (cd "$ROOT" && exec "$@") >"$WORK/$name.out" 2>"$WORK/$name.err" &
  PID[$name]=$!
}

is_listening () { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# eventually SECONDS COMMAND...
eventually ()
{
  local tenths=$(($1 * 10))
  shift
  until "$@" >/dev/null 2>&1; do
    tenths=$((tenths - 1))
    [ $tenths -gt 0 ] || return 1
    sleep 0.1
  done
}

# put TABLE KEY JSON: writes a row as the operator or a server does.
put ()
{
  local body="{\"table\":\"$1\",\"key\":\"$2\",\"value\":$3}" line
  exec 4<>"/dev/tcp/127.0.0.1/$STORE_PORT" || return 1
  printf 'POST /admin/put HTTP/1.1\r\nHost: store\r\nConnection: close\r\nContent-Length: %s\r\n\r\n%s' "${#body}" "$body" >&4
  read -r line <&4
  exec 4<&-
  case $line in *" 200 "*) return 0 ;; *) return 1 ;; esac
}

start_store ()
{
  STORE_PORT=$1
  start store "$STORE" --listen "127.0.0.1:$STORE_PORT"
  eventually 10 is_listening "$STORE_PORT" || cannot_run "the store does not listen"
}

# worker ID SERVICE PORT [options of the rig]: starts a backend server, which registers itself in the store.
worker ()
{
  local id=$1 service=$2 port=$3
  shift 3
  start "worker-$id" "$RIG" worker --port "$port" --id "$id" --log "$RECORD" "$@"
  eventually 10 is_listening "$port" || cannot_run "worker $id does not listen"
  register "$id" "$service" "$port"
}

# register ID SERVICE PORT: writes the row of a server that has just started.
register ()
{
  local id=$1 service=$2 port=$3
  put servers "$id" "{\"service\":\"$service\",\"address\":\"127.0.0.1:$port\",\"zone\":\"uppsala-a\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":$(date +%s%3N)}" || cannot_run "row of $id"
}

# config: a booking service and a model, three tenants, the last with a prepaid budget.
config ()
{
  put op config '{"version":3,"routes":[
 {"name":"r-book","host":"a.example","path_prefix":"/book/","kind":"non_idempotent","timeout_ms":5000,"target_latency_ms":300,"priority":2,"service":"bokning","max_attempts":1,"allow_anonymous":false},
 {"name":"r-stream","host":"a.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":12000,"target_latency_ms":500,"target_gap_ms":500,"priority":2,"service":"bokning","max_attempts":1,"allow_anonymous":false,"resume_streams":false},
 {"name":"r-model","host":"a.example","path_prefix":"/model/","kind":"streaming","timeout_ms":12000,"target_latency_ms":500,"target_gap_ms":500,"priority":1,"service":"modell","max_attempts":1,"allow_anonymous":false,"sticky":true,"resume_streams":false},
 {"name":"r-list","host":"a.example","path_prefix":"/list/","kind":"idempotent","timeout_ms":60000,"target_latency_ms":300,"priority":2,"service":"bokning","max_attempts":2,"allow_anonymous":false}],
 "services":[{"name":"modell","health_path":"/health","connection_limit":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_cache_tokens":575639,"stride":6,"models":[{"name":"m"}]}},
 {"name":"bokning","health_path":"/health","connection_limit":400,"protocol":"h1","tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"tenant-a","api_keys":["key-a"],"priority":1},{"name":"tenant-b","api_keys":["key-b"],"priority":1},
 {"name":"tenant-c","api_keys":["key-c"],"priority":1,"prepaid":100000}]}' || cannot_run "the configuration"
}

# host NAME CALLERS READY OPERATORS PEERS TUNNELS: a frontend machine, with the settings of deploy/settings.toml.template.
declare -A SETTINGS=()
host_settings ()
{
  SETTINGS[$1]=$WORK/$1.toml
  cat >"$WORK/$1.toml" <<TOML
[host]
name = "$1"
data_centre = "uppsala-a"
region = "svealand"

[[data_centre]]
name = "uppsala-a"
region = "svealand"

[listen]
callers = "127.0.0.1:$2"
readiness = "127.0.0.1:$3"
operators = "127.0.0.1:$4"
peers = "127.0.0.1:$5"
tunnels = "127.0.0.1:$6"

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
link_mbit_s = 1000

[retries]
share = 0.2
window_s = 10
allowance = 56

[drain]
deadline_s = 8
TOML
}

start_host () { start "$1" env -i PATH="$PATH" HOME="$WORK" LANG=C SAPPHIREPOND_SETTINGS="${SETTINGS[$1]}" "$PROGRAM" serve; }

# is_ready PORT: what the platform asks each second.
is_ready ()
{
  local line
  exec 5<>"/dev/tcp/127.0.0.1/$1" || return 1
  printf 'GET /v1/readiness HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n' >&5
  read -r line <&5
  exec 5<&-
  case $line in *" 200 "*) return 0 ;; *) return 1 ;; esac
}

begin ()
{
  rm -f "$RECORD"
  [ -x "$RIG" ] && [ -x "$STORE" ] && [ -x "$ROOT/$PROGRAM" ] || cannot_run "build the deploy file's target and review/build-2.sh first"
  say "TROUBLE=$TROUBLE"
  mapfile -t PORT < <("$RIG" ports 24)
  [ "${#PORT[@]}" -eq 24 ] || cannot_run "no free ports"
}
