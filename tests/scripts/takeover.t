With the default settings another host acquires the planner's term within five
seconds of the loss of its holder, and gangs are started again.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ . "$ROOT/tests/scripts/cluster.sh"
  $ default_timing=yes
  $ cluster addis 3
  $ planner=$(status_field e1 planner)
  $ case $planner in e1) other=e2 ;; *) other=e1 ;; esac
  $ taken_over () { now=$(status_field $other planner); [ -n "$now" ] && [ "$now" != $planner ]; }
  $ stop $planner KILL 2> /dev/null
  [137]
  $ killed=${EPOCHREALTIME/./}; wait_for 10 taken_over
  $ took_ms=$(($(logged_ms $other 'A new planner term is in force.*term=2') - killed / 1000))
  $ [ $took_ms -lt 5000 ] && echo in time
  in time
  $ submit $other '{"team":"routes","tasks":2,"accelerators":8,"cpus_milli":1000,"span":"rack","payload":{"run_ms":10}}' 20000 | json state
  finished
  $ echo "$took_ms" >> "$LOGS/takeover-ms"
