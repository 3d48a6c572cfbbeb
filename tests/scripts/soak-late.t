Most workers' clocks are 2% slow, no work comes for 40 s, and then many starts
are carried out late and without an answer: no task runs twice.

  $ python3 "$ROOT/tests/soak/soak.py" 1 5 late 2> "${LOGS:-.}/$TESTFILE.err"
  kept
