A worker is lost or restarts: the other tasks of the gang are stopped, and the
whole job runs again if it is repeatable.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ . "$ROOT/tests/scripts/cluster.sh"
  $ . "$ROOT/tests/scripts/gangs.sh"
  $ gang_cluster 2 6

The bound of these settings: time to live 3 s, renewals 0.5 s, calls 0.5 s.

  $ bound_ms=$((3000 + 4 * 500 + 500 + 500))

The workers are gone and do not come back:

  $ a=$(gang e1 2 8 true '{"run_ms":3000}')
  $ b=$(gang e1 2 8 false '{"run_ms":60000}')
  $ wait_state 20 e1 $a running
  $ wait_state 20 e1 $b running
  $ worker $(workers_of $a start | head -n 1) '"gone":true'
  $ worker $(workers_of $b start | head -n 1) '"gone":true'
  $ wait_state 40 e2 $a finished
  $ wait_state 40 e2 $b failed
  $ outcome e2 $a | sed 's/[2-9]$/N/'
  finished attempt N
  $ started_attempts $a
  2
  $ outcome e2 $b
  failed attempt 1
  $ worker '*' '"gone":false'
  $ no_leases

The worker restarts: it reports the lease as unknown.

  $ c=$(gang e1 2 8 true '{"run_ms":3000}')
  $ wait_state 20 e1 $c running
  $ worker $(workers_of $c start | head -n 1) '"restart":true'
  $ wait_state 30 e2 $c finished
  $ outcome e2 $c | sed 's/[2-9]$/N/'
  finished attempt N
  $ no_leases
  $ judge $bound_ms
  violations: 0
