#!/bin/bash
# Random faults against seven daemons under random load, by a seed; the
# history of all that happened is checked at the end.
# Usage: SEED=1 DURATION_S=60 BUILD=build tests/chaos/chaos.sh
# Exit status: 0 nothing is wrong, 1 a promise was broken or an invariant of
# the end state does not hold.
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
broken=0

complain ()
{
  echo "BROKEN: $*"
  broken=1
}

# The daemons reach the log through the fault proxy: route 0 for e1 to e4,
# route 1 for the others, so that parts of them may be cut off.
start_all ()
{
  local name
  platform addis 50 50
  # shellcheck disable=SC2154 # set by start ()
  start proxy faultproxy --listen 0 --to "127.0.0.1:$log_port" \
    --listen 0 --to "127.0.0.1:$log_port" || exit 2
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
  log_url=http://127.0.0.1:$(route_port proxy $route)
  entry "$1"
}

note ()
{
  echo "$(($(date +%s) - began))s $*" | tee -a faults
}

tell_proxy ()
{
  post "$(url proxy)/control" "$1" > /dev/null
}

pick_host ()
{
  picked=${names[RANDOM % ${#names[@]}]}
}

pick_one ()  # PREFIX COUNT
{
  printf -v picked '%s%02d' "$1" "$((RANDOM % $2 + 1))"
}

# hold: how long a fault lasts, 0.1 to 3 s.
hold ()
{
  sleep "$((RANDOM % 3)).$((RANDOM % 9 + 1))"
}

fault_host ()
{
  pick_host
  case $((RANDOM % 3)) in
    0)
      note "kill $picked"
      stop "$picked" KILL
      hold
      entry_behind_proxy "$picked"
      ;;
    1)
      note "pause $picked"
      pause "$picked"
      hold
      resume "$picked"
      ;;
    2)
      note "terminate $picked"
      stop "$picked" || complain "$picked ended with status $?"
      entry_behind_proxy "$picked"
      ;;
  esac
}

fault_log ()
{
  local log
  log=$(url log)/control
  case $((RANDOM % 5)) in
    0)
      note "log out"
      post "$log" '{"outage":true,"mode":"error"}' > /dev/null
      hold
      ;;
    1)
      note "log silent"
      post "$log" '{"outage":true,"mode":"silent"}' > /dev/null
      hold
      ;;
    2)
      note "log slow"
      post "$log" '{"slow_ms":300}' > /dev/null
      hold
      ;;
    3)
      note "answers of the log lost"
      post "$log" '{"drop_percent":30}' > /dev/null
      hold
      ;;
    4)
      note "log keeps 200 records"
      post "$log" '{"retention_records":200}' > /dev/null
      hold
      ;;
  esac
  post "$log" '{"outage":false,"mode":"error","slow_ms":0,"drop_percent":0,"retention_records":0}' \
    > /dev/null
}

fault_network ()
{
  local route=$((RANDOM % 2)) kinds kind
  kinds=('"cut":true' '"freeze":"to"' '"freeze":"from"' '"silent":true'
    '"reset":true' '"delay_ms":200')
  kind=${kinds[RANDOM % ${#kinds[@]}]}
  note "route $route to the log: $kind"
  tell_proxy "{\"route\":$route,$kind}"
  hold
  tell_proxy "{\"route\":$route,\"cut\":false,\"freeze\":\"none\",\"delay_ms\":0}"
}

fault_worker ()
{
  local kinds kind
  pick_one w 50
  kinds=(gone frozen refuse_start fail_all)
  kind=${kinds[RANDOM % ${#kinds[@]}]}
  note "$picked $kind"
  post "$(url workers)/control" "{\"worker\":\"$picked\",\"$kind\":true}" \
    > /dev/null
  hold
  post "$(url workers)/control" "{\"worker\":\"$picked\",\"$kind\":false}" \
    > /dev/null
}

fault_upstream ()
{
  local kinds kind
  # shellcheck disable=SC2154 # set by set_user ()
  pick_one "$service-" 50
  kinds=(gone frozen leaving fail_all)
  kind=${kinds[RANDOM % ${#kinds[@]}]}
  note "$picked $kind"
  post "$(url upstreams)/control" "{\"instance\":\"$picked\",\"$kind\":true}" \
    > /dev/null
  hold
  post "$(url upstreams)/control" "{\"instance\":\"$picked\",\"$kind\":false}" \
    > /dev/null
}

# Jobs, cancellations and changes of the configuration, one every 0.3 s, each
# to any host: jobs.py notes what was sent and told.
load_jobs ()
{
  python3 "$ROOT/tests/chaos/jobs.py" --dir "$dir" --seed "$seed" \
    --seconds "$duration_s" \
    --document "$ROOT/examples/environments/addis.yaml" "${names[@]}"
}

# Requests of short rounds of callers, as the ports change with each restart.
load_requests ()
{
  local round=0 name list
  while [ "$(date +%s)" -lt "$until" ]; do
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

# The end state: all hosts agree, and every job is over.
check_end ()
{
  local name
  for name in "${names[@]}"; do
    wait_for 20 members_seen "$name" 7 > /dev/null || complain "$name misses members"
    wait_for 20 is_value true status_field "$name" caught_up > /dev/null \
      || complain "$name has not caught up"
  done
  python3 "$ROOT/tests/chaos/jobs.py" --dir "$dir" --seed "$seed" --end \
    "${names[@]}" || complain "the end state"
}

echo "seed $seed, $duration_s s"
start_all
began=$(date +%s)
until=$((began + duration_s))
load_jobs > jobs.out 2>&1 &
jobs_pid=$!
load_requests &
requests_pid=$!
while [ "$(date +%s)" -lt "$until" ]; do
  case $((RANDOM % 6)) in
    0 | 1) fault_host ;;
    2) fault_log ;;
    3) fault_network ;;
    4) fault_worker ;;
    *) fault_upstream ;;
  esac
  sleep "0.$((RANDOM % 9 + 1))"
done
wait "$jobs_pid" "$requests_pid"
check_end
check_history --gang-bound-ms 8000 --require run,start,told,lease > verdict
grep -q '^history: 0' verdict || complain "$(cat verdict)"
cat checked
echo "requests: $(python3 -c '
import collections, json
total = collections.Counter()
for line in open("counts"):
    total.update(json.loads(line))
print(json.dumps(total, sort_keys=True))')"
echo "faults: $(wc -l < faults)"
if [ "$broken" = 0 ]; then
  echo "verdict: holds"
else
  echo "verdict: broken (seed $seed); histories and logs are in $dir"
fi
stop_all
[ "$broken" = 1 ] || rm -r "$dir"
exit "$broken"
