#!/bin/bash
# Injects random faults, chosen by a seed, while seven daemons serve random
# load, and checks the recorded history at the end.
# Usage: SEED=1 DURATION_S=60 BUILD=build tests/chaos/chaos.sh
# Exit status: 0 no violation, 1 the history holds a violation or an invariant
# of the end state does not hold, 2 the run could not be started.
cd "$(dirname "$0")/../.." || exit 2
ROOT=$(pwd)
BUILD=$(realpath "${BUILD:-build}")
export ROOT BUILD
seed=${SEED:-1}
duration_s=${DURATION_S:-60}
dir=$(mktemp -d)
cd "$dir" || exit 2
# shellcheck source=tests/scripts/lib.sh
. "$ROOT/tests/scripts/lib.sh"
# shellcheck source=tests/scripts/cluster.sh
. "$ROOT/tests/scripts/cluster.sh"

RANDOM=$seed
names=(e1 e2 e3 e4 e5 e6 e7)
violated=0

report_violation ()
{
  echo "BROKEN: $*"
  violated=1
}

# free_port: prints a TCP port of the loopback that nobody listens on.
free_port ()
{
  python3 -c 'import socket
with socket.socket() as free:
    free.bind(("127.0.0.1", 0))
    print(free.getsockname()[1])'
}

# The daemons reach the log through the fault proxy: e1 to e4 by route 0, e5 to
# e7 by route 1, so that a fault can cut off one group and not the other.
# Heartbeats to e6 go through route 2, those to e7 through route 3.
start_all ()
{
  local name
  platform addis 50 50
  # shellcheck disable=SC2154 # set by start ()
  e6_peers_port=$(free_port)
  e7_peers_port=$(free_port)
  # shellcheck disable=SC2154 # set by start ()
  start proxy faultproxy --listen 0 --to "127.0.0.1:$log_port" \
    --listen 0 --to "127.0.0.1:$log_port" \
    --listen 0 --to "127.0.0.1:$e6_peers_port" \
    --listen 0 --to "127.0.0.1:$e7_peers_port" || exit 2
  for name in "${names[@]}"; do
    entry_behind_proxy "$name"
  done
  for name in "${names[@]}"; do
    wait_for 10 members_seen "$name" 7
  done
  wait_for 10 all_workers_seen e1 50
  apply e1 "$ROOT/examples/environments/addis.yaml" > applied
  in_force 1 "${names[@]}"
}

entry_behind_proxy ()
{
  local route=0
  case "$1" in e5 | e6 | e7) route=1 ;; esac
  # shellcheck disable=SC2034 # read by settings ()
  log_url=http://127.0.0.1:$(route_port proxy $route)
  case "$1" in
    e6)
      peers_port=$e6_peers_port listed_peer_port=$(route_port proxy 2) entry e6
      ;;
    e7)
      peers_port=$e7_peers_port listed_peer_port=$(route_port proxy 3) entry e7
      ;;
    *) entry "$1" ;;
  esac
}

# record_fault TEXT: prints a fault and records it in the file faults.  fault_log
# makes the log faulty.
record_fault ()
{
  echo "$(($(date +%s) - began))s $*" | tee -a faults
}

control_proxy ()
{
  post "$(url proxy)/control" "$1" > /dev/null
}

# pick_host: sets picked to the name of a random entry host.
pick_host ()
{
  picked=${names[RANDOM % ${#names[@]}]}
}

# pick_numbered PREFIX COUNT: sets picked to the prefix and a random number from
# 01 to COUNT.
pick_numbered ()
{
  printf -v picked '%s%02d' "$1" "$((RANDOM % $2 + 1))"
}

# sleep_random: sleeps for the duration of a fault, 0.1 to 2.9 s.
sleep_random ()
{
  sleep "$((RANDOM % 3)).$((RANDOM % 9 + 1))"
}

fault_host ()
{
  pick_host
  case $((RANDOM % 3)) in
    0)
      record_fault "kill $picked"
      stop "$picked" KILL
      sleep_random
      entry_behind_proxy "$picked"
      ;;
    1)
      record_fault "pause $picked"
      pause "$picked"
      sleep_random
      resume "$picked"
      ;;
    2)
      record_fault "terminate $picked"
      stop "$picked" || report_violation "$picked ended with status $?"
      entry_behind_proxy "$picked"
      ;;
  esac
}

# fault_log: makes the log faulty for a while.
fault_log ()
{
  local log
  log=$(url log)/control
  case $((RANDOM % 5)) in
    0)
      record_fault "log out"
      post "$log" '{"outage":true,"mode":"error"}' > /dev/null
      sleep_random
      ;;
    1)
      record_fault "log silent"
      post "$log" '{"outage":true,"mode":"silent"}' > /dev/null
      sleep_random
      ;;
    2)
      record_fault "log slow"
      post "$log" '{"slow_ms":300}' > /dev/null
      sleep_random
      ;;
    3)
      record_fault "answers of the log lost"
      post "$log" '{"drop_percent":30}' > /dev/null
      sleep_random
      ;;
    4)
      record_fault "log keeps 200 records"
      post "$log" '{"retention_records":200}' > /dev/null
      sleep_random
      ;;
  esac
  post "$log" '{"outage":false,"mode":"error","slow_ms":0,"drop_percent":0,"retention_records":0}' \
    > /dev/null
}

# fault_network: a fault on a random route of the fault proxy.  "to" and "from"
# are the directions to and from the server.  "silent" and "reset" affect only
# the connections that are open now, so there is nothing to undo on the route.
fault_network ()
{
  local route=$((RANDOM % 4)) kinds kind
  kinds=('"cut":true' '"freeze":"to"' '"freeze":"from"' '"silent":true'
    '"reset":true' '"delay_ms":200')
  kind=${kinds[RANDOM % ${#kinds[@]}]}
  record_fault "route $route $kind"
  control_proxy "{\"route\":$route,$kind}"
  sleep_random
  control_proxy "{\"route\":$route,\"cut\":false,\"freeze\":\"none\",\"delay_ms\":0}"
}

fault_worker ()
{
  local kinds kind
  pick_numbered w 50
  kinds=(gone frozen refuse_start fail_all)
  kind=${kinds[RANDOM % ${#kinds[@]}]}
  record_fault "$picked $kind"
  post "$(url workers)/control" "{\"worker\":\"$picked\",\"$kind\":true}" \
    > /dev/null
  sleep_random
  post "$(url workers)/control" "{\"worker\":\"$picked\",\"$kind\":false}" \
    > /dev/null
}

fault_upstream ()
{
  local kinds kind
  # shellcheck disable=SC2154 # set by set_user ()
  pick_numbered "$service-" 50
  kinds=(gone frozen leaving fail_all)
  kind=${kinds[RANDOM % ${#kinds[@]}]}
  record_fault "$picked $kind"
  post "$(url upstreams)/control" "{\"instance\":\"$picked\",\"$kind\":true}" \
    > /dev/null
  sleep_random
  post "$(url upstreams)/control" "{\"instance\":\"$picked\",\"$kind\":false}" \
    > /dev/null
}

# Faults of the platform and the network; fault_host runs at the same time.
platform_faults ()
{
  RANDOM=$((seed + 1000))
  while [ "$(date +%s)" -lt "$end_s" ]; do
    case $((RANDOM % 4)) in
      0) fault_log ;;
      1) fault_network ;;
      2) fault_worker ;;
      3) fault_upstream ;;
    esac
    sleep "0.$((RANDOM % 9 + 1))"
  done
}

# Sends a job, a cancellation or a change of the configuration every 0.3 s to a
# random host; jobs.py records what was sent and what the host answered.
run_jobs ()
{
  python3 "$ROOT/tests/chaos/jobs.py" --dir "$dir" --seed "$seed" \
    --seconds "$duration_s" \
    --document "$ROOT/examples/environments/addis.yaml" "${names[@]}"
}

# Sends requests in rounds of 2 s: a restarted host has another port, and each
# round reads the ports again.
run_requests ()
{
  local round=0 name list
  while [ "$(date +%s)" -lt "$end_s" ]; do
    round=$((round + 1))
    list=
    for name in "${names[@]}"; do
      list=$list,$(program_port "$name")
    done
    python3 "$ROOT/tests/scripts/callers.py" --ports "${list#,}" \
      --service "$service" --history callers.history --callers 12 \
      --seconds 2 --run-ms 20 --once-percent 30 --deadline-ms 3000 \
      --pause-ms 30 --teams clinics,routes,rounds --tag "c$round" \
      --seed "$((seed * 100 + round))" >> counts
  done
}

# Checks the end state: all hosts agree, and every job has ended.
check_end_state ()
{
  local name
  for name in "${names[@]}"; do
    wait_for 20 members_seen "$name" 7 > /dev/null \
      || report_violation "$name misses members"
    wait_for 20 is_value true status_field "$name" caught_up > /dev/null \
      || report_violation "$name has not caught up"
  done
  python3 "$ROOT/tests/chaos/jobs.py" --dir "$dir" --seed "$seed" --end \
    "${names[@]}" || report_violation "the end state"
}

echo "seed $seed, $duration_s s"
start_all
began=$(date +%s)
end_s=$((began + duration_s))
run_jobs > jobs.out 2>&1 &
jobs_pid=$!
run_requests &
requests_pid=$!
platform_faults &
faults_pid=$!
while [ "$(date +%s)" -lt "$end_s" ]; do
  fault_host
  sleep_random
done
wait "$jobs_pid" "$requests_pid" "$faults_pid"
check_end_state
check_history --gang-bound-ms 8000 --require run,start,told,lease > verdict
grep -q '^history: 0' verdict || report_violation "$(cat verdict)"
cat checked
echo "requests: $(python3 -c '
import collections, json
total = collections.Counter()
for line in open("counts"):
    total.update(json.loads(line))
print(json.dumps(total, sort_keys=True))')"
echo "faults: $(wc -l < faults)"
if [ "$violated" = 0 ]; then
  echo "verdict: holds"
else
  echo "verdict: broken (seed $seed); histories and logs are in $dir"
fi
stop_all
[ "$violated" = 1 ] || rm -r "$dir"
exit "$violated"
