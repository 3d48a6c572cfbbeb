Workers crash and start again under their id while calls are carried out late:
no task runs twice.

  $ python3 "$ROOT/tests/soak/soak.py" 2 20 reborn 2> "${LOGS:-.}/$TESTFILE.err"
  kept
