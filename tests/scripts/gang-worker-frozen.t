A worker freezes: the other tasks of the gang are stopped, and the whole job runs
again.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ . "$ROOT/tests/scripts/cluster.sh"
  $ . "$ROOT/tests/scripts/gangs.sh"
  $ gang_cluster 2 6

The bound of these settings: time to live 3 s, renewals 0.5 s, calls 0.5 s.

  $ bound_ms=$((3000 + 4 * 500 + 500 + 500))

  $ runs_again ()  # ID: a second attempt has started
  > {
  >   [ "$(started_attempts $1)" = 2 ]
  > }

The leases on the frozen worker lapse, the other tasks are stopped, and its
resources are not used until every lease that it may hold has expired.

  $ d=$(gang e1 2 8 true '{"run_ms":8000}')
  $ wait_state 20 e1 $d running
  $ frozen=$(workers_of $d start | head -n 1)
  $ worker $frozen '"frozen":true'
  $ wait_for 30 runs_again $d
  $ worker $frozen '"frozen":false'
  $ wait_state 40 e2 $d finished
  $ no_leases
  $ judge $bound_ms
  violations: 0
