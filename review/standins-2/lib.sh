# Functions of the scripts of review 2; sourced by review/N/run.sh. Starts a
# small deployment on loopback addresses of its own: a store stand-in, entries,
# sidecars and an executor stand-in beside each sidecar. Needs bash, curl and
# jq, which packages.txt lists.
set -uo pipefail
CASE_DIR=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
cd "$ROOT" || exit 2
CORNELFRONT=target/src/cornelfront/cornelfront
STANDINS=build-review-2/bin
EXECUTOR=${EXECUTOR:-executor_standin}
TROUBLE=${TROUBLE:-1}
RECORD=$CASE_DIR/record.txt
WORK=$(mktemp -d)
HOST=desk.example
NET=127.$((RANDOM % 200 + 20)).$((RANDOM % 200 + 20))
# One free range of ports for all machines, as portRange and listen say.
PORT=$((RANDOM % 8000 + 20000))
declare -A PIDS EXECUTOR_PORT
: >"$RECORD"

now() { date +%s%3N; }
START=$(now)
# Writes a line to record.txt, after the milliseconds since the start.
record() { echo "$(($(now) - START)) $*" | tee -a "$RECORD"; }
# Ends the script as one that could not run.
unable() { record "unable: $*"; exit 2; }

stop_all() {
  local pid
  for pid in "${PIDS[@]}"; do kill -CONT "$pid"; kill -KILL "$pid"; done \
    2>/dev/null
  wait 2>/dev/null
  if [ -n "${KEEP_LOGS:-}" ]; then echo "logs in $WORK"; else rm -rf "$WORK"; fi
}
trap stop_all EXIT
trap 'exit 2' INT TERM

[ -x "$CORNELFRONT" ] || unable "target/ is not built"
[ -x "$STANDINS/store_standin" ] || unable "review/build-2.sh has not run"
for tool in curl jq; do
  command -v "$tool" >/dev/null || unable "$tool is missing"
done

# run NAME COMMAND...: starts a process; its output goes to NAME.log.
run() {
  local name=$1
  shift
  "$@" >>"$WORK/$name.log" 2>&1 &
  PIDS[$name]=$!
}
# kill_process NAME: kills it as the platform or a crash does.
kill_process() {
  kill -KILL "${PIDS[$1]}" && wait "${PIDS[$1]}" 2>/dev/null
  unset "PIDS[$1]"
  record "killed $1"
}

# wait_for SECONDS COMMAND...: repeats it until it succeeds.
wait_for() {
  local until=$(($(now) + $1 * 1000))
  shift
  while ! "$@" >/dev/null 2>&1; do
    [ "$(now)" -lt "$until" ] || return 1
    sleep 0.05
  done
}

start_store() {
  run store "$STANDINS/store_standin"
  wait_for 5 grep -q 'listening http' "$WORK/store.log" ||
    unable "the store stand-in did not start"
  STORE=127.0.0.1:$(grep -o 'listening http [0-9]*' "$WORK/store.log" |
    cut -d' ' -f3)
}

# hex NUMBER BYTES: prints it big-endian for printf.
hex() { printf "%0$(($2 * 2))x" "$1" | sed 's/../\\x&/g'; }
# operator KEY VALUE: the operator writes a record to the store.
operator() {
  local length=$((1 + ${#1} + ${#2}))
  { printf "$(hex $length 4)$(hex ${#1} 1)"; printf '%s%s' "$1" "$2"; } |
    curl -sf --max-time 5 -o /dev/null --data-binary @- \
      -H 'Content-Type: application/octet-stream' \
      "http://$STORE/log-append?topic=keyed.op&part=0" ||
    unable "the operator could not write $1"
  record "operator wrote $1 $2"
}
# route NAME: a route of the configuration, with the goals of the site.
route() {
  printf '{"name":"%s","host":"%s","pathPrefix":"/%s/","service":"desk",' \
    "$1" "$HOST" "$1"
  printf '"attempts":3,"stretch":1.6,"sloMs":60,"timeoutMs":5000}'
}
# config VERSION NAME...: writes a configuration with these routes.
config() {
  local version=$1 routes= name
  shift
  for name in "$@"; do routes+="${routes:+,}$(route "$name")"; done
  operator config \
    "{\"version\":$version,\"routes\":[$routes],\"services\":[{\"name\":\"desk\"}]}"
}

entry_ip() { echo "$NET.$((10 + $1))"; }
sidecar_ip() { echo "$NET.$((100 + $1))"; }

# start_entry N: with the settings of deploy/job-entry.yaml filled in.
start_entry() {
  local ip
  ip=$(entry_ip "$1")
  sed -e "s|{{nodeName}}|entry-$1|; s|{{zone}}|z$1|" \
    -e "s|{{listen.front}}|$ip:$PORT|; s|{{listen.ready}}|$ip:$((PORT + 1))|" \
    -e "s|{{ip}}:{{portRange.0}}|$ip:$((PORT + 2))|" \
    -e "s|{{ip}}:9464|$ip:$((PORT + 3))|; s|{{platform.address}}|$STORE|" \
    deploy/job-entry.yaml >"$WORK/entry-$1.yaml"
  run "entry-$1" "$CORNELFRONT" job-entry --settings "$WORK/entry-$1.yaml"
  record "started entry-$1"
}
# start_sidecar N: with the settings of deploy/job-sidecar.yaml filled in.
start_sidecar() {
  local ip seeds= i
  ip=$(sidecar_ip "$1")
  for ((i = 0; i < ENTRIES; ++i)); do
    seeds+="${seeds:+,}\"$(entry_ip $i):$((PORT + 4))\""
  done
  sed -e "s|{{nodeName}}|sidecar-$1|; s|{{zone}}|z$(($1 % ENTRIES))|" \
    -e "s|{{listen.control}}|$ip:$((PORT + 4))|; s|{{ip}}:9464|$ip:$((PORT + 3))|" \
    -e "s|{{app}}|127.0.0.1:${EXECUTOR_PORT[$1]}|; s|{{platform.address}}|$STORE|" \
    -e "s|seeds: .*|seeds: [$seeds]|; s|{{portRange.0}}|$((PORT + 2))|" \
    -e "s|{{bounds.holdMaxMs}}|1000|" \
    deploy/job-sidecar.yaml >"$WORK/sidecar-$1.yaml"
  run "sidecar-$1" "$CORNELFRONT" job-sidecar \
    --settings "$WORK/sidecar-$1.yaml"
}
# start_executor N: a restart takes the port and the id that it had.
start_executor() {
  local service=(--service desk)
  [ "$EXECUTOR" = late_executor ] && service=()
  run "executor-$1" "$STANDINS/$EXECUTOR" --id "u-$1" "${service[@]}" \
    --heartbeats "$(sidecar_ip "$1"):$((PORT + 4))" --cpu 16000 \
    --port "${EXECUTOR_PORT[$1]:-0}"
  wait_for 5 grep -q 'listening http' "$WORK/executor-$1.log" ||
    unable "executor $1 did not start"
  EXECUTOR_PORT[$1]=$(grep -o 'listening http [0-9]*' "$WORK/executor-$1.log" |
    tail -1 | cut -d' ' -f3)
}

is_linked() {
  local i
  for ((i = 0; i < SIDECARS; ++i)); do
    grep -q "name=sidecar-$i .*outcome=held_runs" "$WORK/entry-$1.log" ||
      return 1
  done
}
is_ready() {
  curl -sf --max-time 1 -o /dev/null "http://$(entry_ip "$1"):$((PORT + 1))/ready"
}
# start_deployment ENTRIES SIDECARS ROUTE...
start_deployment() {
  ENTRIES=$1 SIDECARS=$2
  shift 2
  local i
  start_store
  config 1 "$@"
  for ((i = 0; i < ENTRIES; ++i)); do start_entry $i; done
  for ((i = 0; i < SIDECARS; ++i)); do start_executor $i; start_sidecar $i; done
  for ((i = 0; i < ENTRIES; ++i)); do
    wait_for 15 is_ready $i || unable "entry $i did not become ready"
    wait_for 10 is_linked $i || unable "entry $i is not linked to all sidecars"
  done
  wait_for 10 leader || unable "no entry leads"
  # contactMs: from now on all machines are in touch.
  sleep 4
  record "all machines are in touch"
}

# leader [TERM]: prints the number of the entry with the newest term, which is
# the process that last wrote to the store under a condition.
leader() {
  local i term newest=-1 found=
  for ((i = 0; i < ENTRIES; ++i)); do
    term=$(grep -o 'leadership term=[0-9]* outcome=leading' \
      "$WORK/entry-$i.log" | tail -1 | grep -o '[0-9]*')
    if [ -n "$term" ] && [ "$term" -gt "$newest" ]; then
      newest=$term found=$i
    fi
  done
  [ -n "$found" ] && [ "$newest" -gt "${1:-0}" ] && echo "$found"
}
term() {
  cat "$WORK"/entry-*.log | grep -o 'leadership term=[0-9]* outcome=leading' |
    grep -o '[0-9]*' | sort -n | tail -1
}

# call ENTRY METHOD PATH [BODY [SECONDS]]: prints status and body, and records
# both.
call() {
  local answer
  answer=$(curl -s --max-time "${5:-3}" -X "$2" -H "Host: $HOST" \
    -H 'Content-Type: application/json' \
    -H "Request-Deadline: $((${5:-3} * 1000))" \
    ${4:+--data-binary "$4"} -w '%{http_code}' \
    "http://$(entry_ip "$1"):$PORT$3")
  ANSWER_STATUS=${answer: -3}
  ANSWER_BODY=${answer:0:-3}
  record "entry-$1 $2 $3 ${4:-} -> $ANSWER_STATUS $ANSWER_BODY"
}
# state ENTRY PATH: sets STATE to the state of a job, or to the status.
state() {
  call "$1" GET "$2"
  STATE=$(jq -r '.state // empty' <<<"$ANSWER_BODY" 2>/dev/null)
  STATE=${STATE:-$ANSWER_STATUS}
}

# runs [JOB]: prints all runs that the executors have begun, one JSON object a
# line, with the executor's number.
runs() {
  local i
  for ((i = 0; i < SIDECARS; ++i)); do
    curl -s --max-time 2 "http://127.0.0.1:${EXECUTOR_PORT[$i]}/control/runs" |
      jq -c ".[] | select(.task | startswith(\"${1:-}\")) | .executor = $i" \
        2>/dev/null
  done
}
record_runs() {
  local line
  while read -r line; do
    [ -n "$line" ] && record "run $line"
  done < <(runs "${1:-}" |
    jq -c ".begun -= $START | if .ended > 0 then .ended -= $START else . end |
      if .acknowledged > 0 then .acknowledged -= $START else . end")
}
broken() { record "BROKEN $*"; exit 1; }
held() { record "held: $*"; exit 0; }
