#!/bin/bash
# Functions for the scripted tests.  They start programs in the background, and
# wait for conditions instead of fixed times.  To be sourced; needs BUILD and
# ROOT.

set -u

# Process ids of the started programs, by name.  start () also sets NAME_pid
# and NAME_port.
declare -A started=()
# Folder of the programs' standard output and error, NAME.out and NAME.err.
run_dir=${run_dir:-$(pwd)}
# Limits of start () and stop (), in seconds.
start_limit_s=${start_limit_s:-30}
stop_limit_s=${stop_limit_s:-30}

# wait_for SECONDS COMMAND...: repeats the command every 50 ms until it
# succeeds; after SECONDS it prints "timeout" with the command and returns 1.
wait_for ()
{
  local end=$((${EPOCHREALTIME/./} + $1 * 1000000))
  shift
  until "$@" > /dev/null 2>&1; do
    if [ "${EPOCHREALTIME/./}" -gt "$end" ]; then
      echo "timeout: $*"
      return 1
    fi
    sleep 0.05
  done
}

# program_port NAME: prints the port from the line "listening PORT" of a
# program, or nothing before that line.
program_port ()
{
  sed -n 's/^listening \([0-9]*\)$/\1/p' "$run_dir/$1.out" 2> /dev/null \
    | head -n 1
}

# is_listening NAME: whether the program has printed its port.  Also succeeds if
# the program has ended; the caller then finds no port.
is_listening ()
{
  [ -n "$(program_port "$1")" ] && return 0
  # A program that has ended will not print its port: stop the wait.
  ! kill -0 "${started[$1]}" 2> /dev/null
}

# start NAME PROGRAM ARGS...: starts a program, given by its path or its name
# in build/bin, and waits until it prints "listening PORT".  Sets NAME_pid and
# NAME_port.
start ()
{
  local name=$1 program=$2 port
  shift 2
  case "$program" in
    */*) ;;
    *) program=$BUILD/bin/$program ;;
  esac
  : > "$run_dir/$name.out"
  "$program" "$@" > "$run_dir/$name.out" 2>> "$run_dir/$name.err" < /dev/null &
  started[$name]=$!
  printf -v "${name}_pid" %s "$!"
  wait_for "$start_limit_s" is_listening "$name"
  port=$(program_port "$name")
  printf -v "${name}_port" %s "$port"
  if [ -z "$port" ]; then
    echo "$name has not started:"
    tail -n 20 "$run_dir/$name.err"
    return 1
  fi
}

# has_ended PID: whether the process has ended, also if its exit status has not
# been collected yet.
has_ended ()
{
  local state
  read -r _ _ state _ < "/proc/$1/stat" || return 0
  [ "$state" = Z ]
}

# end_process PID SIGNAL: sends the signal, and SIGKILL if the process has not
# ended within stop_limit_s.  Returns the exit status.
end_process ()
{
  kill -s "$2" "$1"
  if ! wait_for "$stop_limit_s" has_ended "$1"; then
    kill -s KILL "$1"
  fi
  wait "$1"
}

# stop NAME [SIGNAL]: ends the program started as NAME with SIGNAL, by default
# SIGTERM.  Returns its exit status, or 0 if it does not run.
stop ()
{
  local pid=${started[$1]:-}
  [ -n "$pid" ] || return 0
  unset "started[$1]"
  # Hides the message of the shell about a killed process.
  end_process "$pid" "${2:-TERM}" 2> /dev/null
}

# pause NAME, resume NAME: sends SIGSTOP or SIGCONT to a program.
pause ()
{
  kill -s STOP "${started[$1]}"
}

resume ()
{
  kill -s CONT "${started[$1]}"
}

# stop_all: ends all started programs that still run, also paused ones.
stop_all ()
{
  local name
  for name in "${!started[@]}"; do
    kill -s CONT "${started[$name]}" 2> /dev/null
    kill -s TERM "${started[$name]}" 2> /dev/null
  done
  for name in "${!started[@]}"; do
    stop "$name" > /dev/null
  done
}
trap stop_all EXIT

# route_port NAME N: prints the port of route N of the fault proxy NAME.
route_port ()
{
  sed -n "s/^route $2 \([0-9]*\)\$/\1/p" "$run_dir/$1.out"
}

# host_port HOSTS_URL NAME: prints the port of an entry of the host list: a
# worker, an upstream instance or an entry host.
host_port ()
{
  get "$1/hosts" | python3 -c '
import json, sys
for host in json.load(sys.stdin)["hosts"]:
    if host["name"] == sys.argv[1]:
        print(host["port"])
' "$2"
}

# logged_ms NAME PATTERN: prints when the program first logged a line that
# matches the pattern, in Unix milliseconds.
logged_ms ()
{
  date -d "$(grep -m 1 -E "$2" "$run_dir/$1.err" | sed 's/^time=\([^ ]*\).*/\1/')" \
    +%s%3N
}

# has TEXT COMMAND...: whether the output of the command contains the text.
has ()
{
  local text=$1
  shift
  "$@" | grep -qF -- "$text"
}

# get URL, post URL JSON, delete URL: print the body of the answer.
get ()
{
  curl -sS --max-time 30 "$1"
}

post ()
{
  curl -sS --max-time 30 -H 'Content-Type: application/json' --data "$2" "$1"
}

delete ()
{
  curl -sS --max-time 30 -X DELETE "$1"
}

# status METHOD URL [JSON]: prints the HTTP status of the answer, or 000
# without an answer within status_limit_s seconds.
status ()
{
  local data=()
  [ $# -gt 2 ] && data=(--data "$3")
  curl -s --max-time "${status_limit_s:-30}" -o /dev/null -w '%{http_code}\n' \
    -X "$1" "${data[@]}" "$2" || true
}

# has_status CODE METHOD URL [JSON]: whether the HTTP status is CODE.
has_status ()
{
  local code=$1
  shift
  [ "$(status "$@")" = "$code" ]
}

# json FIELD...: prints a member of the JSON value on standard input.  Each
# FIELD is a name, an index of an array, or "length", the size of an array.
json ()
{
  python3 -c '
import json, sys
value = json.load(sys.stdin)
for field in sys.argv[1:]:
    if isinstance(value, list):
        value = len(value) if field == "length" else value[int(field)]
    else:
        value = value.get(field)
print(value if isinstance(value, str) else json.dumps(value))
' "$@"
}

# digest TEXT: prints the digest by which histories identify a body.
digest ()
{
  printf %s "$1" | sha256sum | cut -c 1-16
}

# note FILE WHAT MEMBERS: appends an event of the test to a history; MEMBERS
# are those of a JSON object, without its braces.  gangs.sh replaces this
# function by one with other arguments.
note ()
{
  local now_us=${EPOCHREALTIME/./}
  printf '{"t_ms":%s,"who":"test","what":"%s",%s}\n' \
    "$((now_us / 1000))" "$2" "$3" >> "$1"
}
