Gangs run all tasks of an attempt, or none.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ . "$ROOT/tests/scripts/cluster.sh"
  $ . "$ROOT/tests/scripts/gangs.sh"
  $ gang_cluster 3 6

A gang on two workers: every entry host reports its outcome, and no lease remains:

  $ a=$(gang e1 2 8 false '{"run_ms":200}')
  $ wait_state 20 e2 $a finished
  $ outcome e3 $a
  finished attempt 1
  $ job_field e3 $a tasks 0 output
  task 0 on w* done (glob)
  $ no_leases

One task of three fails: the others are stopped.  A repeatable job gets further
attempts; one that is not repeatable runs once:

  $ b=$(gang e2 3 1 true '{"run_ms":300,"fail_task":1}')
  $ c=$(gang e2 3 1 false '{"run_ms":300,"fail_task":1}')
  $ wait_state 20 e1 $c failed
  $ outcome e1 $c
  failed attempt 1
  $ started_attempts $c
  1
  $ wait_state 30 e1 $b failed
  $ outcome e1 $b
  failed attempt 3
  $ started_attempts $b
  3

Jobs are cancelled, one while it runs and one while it is queued:

  $ d=$(gang e3 2 8 true '{"run_ms":60000}')
  $ wait_state 20 e1 $d running
  $ e=$(gang e3 4 8 true '{"run_ms":60000}')
  $ delete $(url e2)/v1/jobs/$d > /dev/null
  $ delete $(url e2)/v1/jobs/$e > /dev/null
  $ wait_state 20 e1 $d cancelled
  $ outcome e1 $d
  cancelled attempt 1
  $ no_leases

A worker refuses the start: tasks that started elsewhere are stopped, and the
whole gang runs on other workers:

  $ worker w01 '"refuse_start":true'
  $ f=$(gang e1 2 8 true '{"run_ms":500}')
  $ g=$(gang e1 2 8 true '{"run_ms":500}')
  $ wait_state 40 e2 $f finished
  $ wait_state 40 e2 $g finished
  $ outcome e2 $f | sed 's/ attempt.*//'
  finished
  $ outcome e2 $g | sed 's/ attempt.*//'
  finished
  $ grep -c '"what":"refuse","call":"start"' workers.history | sed 's/[1-9].*/some/'
  some
  $ no_leases
  $ judge 3000
  violations: 0
