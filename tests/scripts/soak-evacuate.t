Data centres are closed for new work and opened again, while the planner is
killed, frozen or cut off and the store fails or drops its history: nothing
starts there after the bound, no task runs twice, all jobs complete.

  $ python3 "$ROOT/tests/soak/soak.py" 3 8 evacuate 2> "${LOGS:-.}/$TESTFILE.err"
  kept
