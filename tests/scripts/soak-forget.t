The store drops its history again and again, so that hosts load the topics anew
while the planner is killed, frozen or cut off: no task runs twice.

  $ python3 "$ROOT/tests/soak/soak.py" 1 20 forget 2> "${LOGS:-.}/$TESTFILE.err"
  kept
