The planner's host is killed as soon as the next planner holds rounds, again and
again: each kill leads to one takeover, no task runs twice, all jobs complete.

  $ python3 "$ROOT/tests/soak/soak.py" 51 10 takeovers 2> "${LOGS:-.}/$TESTFILE.err"
  kept
