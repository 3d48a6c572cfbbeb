An outage of the log outlasts the leases: running tasks continue, no new ones
start, and tasks that ended are recorded when the log is back.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ . "$ROOT/tests/scripts/cluster.sh"
  $ . "$ROOT/tests/scripts/gangs.sh"
  $ gang_cluster 3 6
  $ a=$(gang e1 2 8 false '{"run_ms":9000}')
  $ b=$(gang e1 3 1 false '{"run_ms":3000}')
  $ wait_state 20 e1 $a running
  $ wait_state 20 e1 $b running
  $ post $(url log)/control '{"outage":true,"mode":"silent"}' > /dev/null
  $ sleep 7
  $ workers_of $a lapse
  $ post $(url log)/control '{"outage":false}' > /dev/null
  $ wait_state 20 e2 $a finished
  $ wait_state 20 e3 $b finished
  $ outcome e2 $a
  finished attempt 1
  $ outcome e3 $b
  finished attempt 1
  $ c=$(gang e2 2 8 false '{"run_ms":100}')
  $ wait_state 20 e3 $c finished
  $ outcome e3 $c
  finished attempt 1
  $ no_leases
  $ judge 3000
  violations: 0

The log appends, but its answers are lost, while gangs are placed and end:

  $ post $(url log)/control '{"drop_answers":6}' > /dev/null
  $ d=$(gang e1 2 8 false '{"run_ms":300}')
  $ post $(url log)/control '{"drop_answers":6}' > /dev/null
  $ e=$(gang e2 3 1 false '{"run_ms":300}')
  $ wait_state 30 e3 $d finished
  $ wait_state 30 e3 $e finished
  $ outcome e3 $d
  finished attempt 1
  $ outcome e3 $e
  finished attempt 1
  $ no_leases
  $ judge 3000
  violations: 0
