Both workers of the only gang are lost, so that no other worker has leases to
renew: the host must not take this for a cut of its own, for it reaches the idle
workers.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ . "$ROOT/tests/scripts/cluster.sh"
  $ . "$ROOT/tests/scripts/gangs.sh"
  $ gang_cluster 1 6
  $ a=$(gang e1 2 8 false '{"run_ms":60000}')
  $ wait_state 20 e1 $a running
  $ for lost in $(workers_of $a start); do worker $lost '"gone":true'; done

The loss is detected within the bound of gang-worker-lost.t for these settings,
6 s.  The job is over once nothing of it can start any more, which takes the
same bound again:

  $ wait_for 6 grep 'A task is recorded as lost.' e1.err
  $ wait_state 7 e1 $a failed
  $ outcome e1 $a
  failed attempt 1
