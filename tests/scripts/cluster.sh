#!/bin/bash
# Functions for scripted tests with the platform's stand-ins and real daemons.
# Source it after lib.sh.
#
# An entry host is a host that runs the scheduler daemon, foxtailgapd.  The entry
# hosts are each other's peers, and the members of one cluster.  A user is one of
# the two example users, addis or brazos, whose configurations are in
# examples/environments.

# set_user USER: sets the service, the data centres and the sizes of the
# workers of an example user.
set_user ()
{
  case "$1" in
    addis)
      service=rounds-planning
      data_centres=bole,merkato,kality
      worker_cpus=130
      worker_memory_mb=262144
      ;;
    brazos)
      service=face-fitting
      data_centres=austin,waco,temple
      worker_cpus=64
      worker_memory_mb=131072
      ;;
  esac
}

# url NAME: prints the base URL of a program that start () started.
url ()
{
  local port=${1}_port
  echo "http://127.0.0.1:${!port}"
}

# platform USER [WORKERS [INSTANCES]]: starts the stand-ins of the log, the
# host list, the workers and the upstream instances, which write their
# histories to *.history.  log_options: further options of the log.
platform ()
{
  set_user "$1"
  start log ft-log --port 0 --appends-per-second 300 --history log.history \
    "${log_options[@]}"
  start hosts ft-hosts --port 0 --lag-ms "${list_lag_ms:-200}" \
    --history hosts.history
  start workers ft-workers --port 0 --count "${2:-50}" \
    --hosts-url "$(url hosts)" --data-centres "$data_centres" \
    --cpus "$worker_cpus" --memory-mb "$worker_memory_mb" --accelerators 8 \
    --history workers.history
  start upstreams ft-upstreams --port 0 --service "$service" \
    --count "${3:-50}" --hosts-url "$(url hosts)" \
    --data-centres "$data_centres" --run-ms "${run_ms:-5}" \
    --history upstreams.history
}
log_options=()

# settings NAME: writes NAME.yaml, the settings of one entry host.  Intervals
# and timeouts are short unless default_timing is set.
settings ()
{
  cat > "$1.yaml" <<END
host: $1
data_centre: ${data_centres%%,*}
callers: {address: 127.0.0.1, port: 0}
peers: {address: 127.0.0.1, port: ${peers_port:-0}}
log_url: ${log_url:-$(url log)}
hosts_url: $(url hosts)
stream: test
log_level: ${log_level:-info}
END
  [ -n "${default_timing:-}" ] || cat >> "$1.yaml" <<END
heartbeat_ms: 100
planner_timeout_ms: 1000
lease_ttl_ms: 3000
lease_renew_ms: 500
hosts_poll_ms: 200
log_timeout_ms: 1000
snapshot_interval_ms: ${snapshot_interval_ms:-2000}
END
}

# entry NAME: starts the daemon of one entry host and puts it on the host list.
# peers_port is the port that it listens on for its peers, listed_peer_port the
# one on the list; they differ if the fault proxy is between entry hosts.
entry ()
{
  local peer_port
  settings "$1"
  start "$1" foxtailgapd --settings "$1.yaml" || return 1
  local port=${1}_port
  # shellcheck disable=SC2154 # set by lib.sh
  peer_port=$(sed -n 's/^peers //p' "$run_dir/$1.out")
  post "$(url hosts)/hosts" "{\"name\":\"$1\",\
\"kind\":\"entry\",\"address\":\"127.0.0.1\",\"port\":${!port},\
\"peer_port\":${listed_peer_port:-$peer_port},\"data_centre\":\"${data_centres%%,*}\",\
\"rack\":\"entry\",\"state\":\"live\"}" > /dev/null
}

# status_field NAME FIELD...: prints a field of the status of an entry host; its
# field "hosts" lists the members.
status_field ()
{
  get "$(url "$1")/v1/status" | json "${@:2}"
}

# apply NAME FILE [BASE]: applies an environment document through one entry
# host, on the base revision BASE.
apply ()
{
  local digest
  digest=$(sha256sum < "$2" | cut -d' ' -f1)
  curl -sS --max-time 30 -H "Foxtailgap-Digest: $digest" \
    --data-binary "@$2" "$(url "$1")/v1/config?base=${3:-0}&author=tester"
}

# is_value VALUE COMMAND...: whether the command prints VALUE.
is_value ()
{
  [ "$("${@:2}")" = "$1" ]
}

# in_force REVISION NAME...: waits until the revision is in force on these
# hosts.
in_force ()
{
  local revision=$1 name
  shift
  for name; do
    wait_for 10 is_value "$revision" status_field "$name" revision
  done
}

# has_planner NAME: whether the status of the entry host names a planner.
has_planner ()
{
  [ -n "$(status_field "$1" planner)" ]
}

# members_seen NAME COUNT: whether the entry host counts COUNT members, itself
# included.
members_seen ()
{
  [ "$(status_field "$1" hosts length)" = "$2" ]
}

# cluster USER COUNT [WORKERS [INSTANCES]]: starts the platform and the entry
# hosts e1 to e<COUNT>, applies the example configuration of the user, and
# waits until it is in force and there is a planner.
cluster ()
{
  local i names=()
  platform "$1" "${3:-50}" "${4:-50}"
  for i in $(seq "$2"); do
    entry "e$i"
    names+=("e$i")
  done
  for i in "${names[@]}"; do
    wait_for 10 members_seen "$i" "$2"
  done
  wait_for 10 all_workers_seen e1 "${3:-50}"
  apply e1 "$ROOT/examples/environments/$1.yaml" > applied
  has '"revision":1' cat applied || cat applied
  in_force 1 "${names[@]}"
  wait_for 10 has_planner e1
}

# all_workers_seen NAME COUNT: whether the entry host lists COUNT workers.
all_workers_seen ()
{
  [ "$(get "$(url "$1")/v1/workers" | json workers length)" = "$2" ]
}

# request NAME TEAM BODY [HEADER...]: sends a request to the user's service and
# prints the answer.
request ()
{
  local headers=() header
  for header in "${@:4}"; do
    headers+=(-H "$header")
  done
  curl -sS --max-time 30 -H "Foxtailgap-Team: $2" "${headers[@]}" \
    --data-binary "$3" "$(url "$1")/v1/services/$service/requests"
}

# submit NAME JSON [WAIT_MS]: submits a job and prints the answer, after its
# end or WAIT_MS.
submit ()
{
  post "$(url "$1")/v1/jobs${3:+?wait_ms=$3}" "$2"
}

# ports NAME...: prints the callers' ports of these hosts, joined by commas.
ports ()
{
  local name port list=
  for name; do
    port=${name}_port
    list=$list,${!port}
  done
  echo "${list#,}"
}

# callers NAMES ARGS...: runs callers.py against the entry hosts NAMES (one
# argument, separated by spaces), with its history in callers.history.
callers ()
{
  local names
  read -ra names <<< "$1"
  python3 "$ROOT/tests/scripts/callers.py" --ports "$(ports "${names[@]}")" \
    --service "$service" --history callers.history "${@:2}"
}

# once NAME KEY BODY [DEADLINE_MS]: sends a request that is not repeatable: it
# may run at most once.
# Prints the answer and, in the last line, the state of the request.
once ()
{
  curl -sS --max-time 30 -H 'Foxtailgap-Team: clinics' \
    -H 'Foxtailgap-Repeatable: no' -H "Idempotency-Key: $2" \
    -H "Foxtailgap-Deadline-Ms: ${4:-5000}" -w '\n%header{foxtailgap-state}\n' \
    --data-binary "$3" "$(url "$1")/v1/services/$service/requests"
}

# error_and_state: prints the error code and the state from the output of
# once ().
error_and_state ()
{
  sed -n -e 's/.*"error":"\([a-z_]*\)".*/\1/p' -e '$p'
}

# sent_once BODY: records in callers.history that a request which is not
# repeatable is sent.  Call it before once (): in the history, a request is sent
# before it runs.
sent_once ()
{
  printf '{"t_ms":%s,"who":"test","what":"sent","body":"%s","repeatable":false}\n' \
    "${EPOCHREALTIME%???}" "$(printf %s "$1" | sha256sum | cut -c1-16)" \
    | tr -d . >> callers.history
}

# runs BODY: prints how many times requests with this body ran on all upstream
# instances.
runs ()
{
  grep -c "\"what\":\"run\".*\"body\":\"$(printf %s "$1" | sha256sum \
    | cut -c1-16)\"" upstreams.history
}

# has_claim NAME KEY STATE: whether the entry host reports the key claim in
# STATE.
has_claim ()
{
  has "\"state\":\"$3\"" get "$(url "$1")/v1/requests/clinics/$2"
}

# check_history ARGS...: runs the history checker on all histories.  Prints its
# exit status, and before it its output if that is not 0.
check_history ()
{
  local files=() file
  for file in *.history; do
    [ -s "$file" ] && files+=("$file")
  done
  "$BUILD/bin/history" "$@" "${files[@]}" > checked
  local status=$?
  [ "$status" = 0 ] || cat checked
  echo "history: $status"
}
