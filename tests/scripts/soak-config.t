The operator adds and removes queues and keys while answers to the hosts' reads
of its topic are lost and the store is slow, so that hosts relay requests to one
that knows less: no host goes back to an older configuration or an earlier state
of a job, denies a job that it has shown, or says that it is not accepted.

  $ python3 "$ROOT/tests/soak/soak_config.py" 5 --traffic 15 \
  >   2> "${LOGS:-.}/$TESTFILE.err" > calm & calm=$!

The same while the planner's host is killed and frozen.

  $ python3 "$ROOT/tests/soak/soak_config.py" 11 --traffic 12 \
  >   --faults lost,slow,kill,freeze 2> "${LOGS:-.}/$TESTFILE.faults.err"
  kept
  $ wait $calm
  $ cat calm
  kept
