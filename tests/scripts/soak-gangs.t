Several members of one run of a gang end as failed, at moments of their own:
the job is not shown as failed before its attempts are used up (LOST).

  $ python3 "$ROOT/tests/soak/soak_gangs.py" 1 --traffic 6 \
  >   2> "${LOGS:-.}/$TESTFILE.err" > calm & calm=$!

The same while the planner's host is killed and workers are out of touch, so
that ends are listed again, and late.

  $ python3 "$ROOT/tests/soak/soak_gangs.py" 2 --traffic 6 --faults kill,dark \
  >   2> "${LOGS:-.}/$TESTFILE.faults.err"
  kept
  $ wait $calm
  $ cat calm
  kept
