The planner is killed, hands over, or is paused: gangs keep running, and no two
hosts plan at once.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ . "$ROOT/tests/scripts/cluster.sh"
  $ . "$ROOT/tests/scripts/gangs.sh"
  $ gang_cluster 4 6
  $ others ()  # the entry hosts that run, without the one named
  > {
  >   for name in e1 e2 e3 e4; do
  >     [ "$name" != "$1" ] && [ -n "${started[$name]:-}" ] && echo "$name"
  >   done
  > }
  $ another ()  # one entry host that runs, not the one named
  > {
  >   others "$1" | head -n 1
  > }
  $ plans_anew ()  # ENTRY, BEFORE: another host plans than before
  > {
  >   [ -n "$(planner $1)" ] && [ "$(planner $1)" != "$2" ]
  > }

The planner is killed while a gang that is not repeatable runs: the other hosts
renew its leases, and the next planner takes the gang over.

  $ once=$(gang e1 2 8 false '{"run_ms":8000}')
  $ wait_state 20 e1 $once running
  $ first=$(planner e1)
  $ see=$(another $first)
  $ stop $first KILL
  [137]
  $ wait_for 5 plans_anew $see $first
  $ new=$(gang $see 3 1 false '{"run_ms":100}')
  $ wait_state 20 $see $new finished
  $ wait_state 20 $see $once finished
  $ outcome $see $once
  finished attempt 1
  $ outcome $see $new
  finished attempt 1

The planner is stopped by SIGTERM: the term is handed over at once.

  $ second=$(planner $see)
  $ see=$(another $second)
  $ stop $second
  $ wait_for 1 plans_anew $see $second

The planner is paused for longer than its term: when it resumes, it does not act
as planner, and the gang that the next planner placed is not affected:

  $ third=$(planner $see)
  $ see=$(another $third)
  $ kill -STOP ${started[$third]}
  $ wait_for 5 plans_anew $see $third
  $ held=$(gang $see 2 8 false '{"run_ms":4000}')
  $ wait_state 20 $see $held running
  $ kill -CONT ${started[$third]}
  $ wait_for 10 grep -q 'Stops acting until a new term' $third.err
  $ wait_state 20 $see $held finished
  $ outcome $see $held
  finished attempt 1
  $ is_value $(planner $see) planner $third
  $ no_leases
  $ judge 3000
  violations: 0
