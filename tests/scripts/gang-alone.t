A single entry host acquires the term and runs gangs; so does the same host when
it is started again after SIGKILL.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ . "$ROOT/tests/scripts/cluster.sh"
  $ . "$ROOT/tests/scripts/gangs.sh"
  $ gang_cluster 1 6
  $ a=$(gang e1 2 8 false '{"run_ms":6000}')
  $ wait_state 20 e1 $a running
  $ stop e1 KILL
  [137]
  $ entry e1
  $ wait_state 20 e1 $a finished
  $ outcome e1 $a
  finished attempt 1
  $ b=$(gang e1 2 8 false '{"run_ms":100}')
  $ wait_state 20 e1 $b finished
  $ outcome e1 $b
  finished attempt 1
  $ no_leases
  $ judge 3000
  violations: 0
