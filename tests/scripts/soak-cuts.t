The planner's host and some workers are cut off together from the store and all
others, again and again, while runs outlast the leases: no task runs twice.

  $ python3 "$ROOT/tests/soak/soak.py" 21 20 cuts 2> "${LOGS:-.}/$TESTFILE.err"
  kept
