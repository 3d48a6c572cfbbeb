A crowd of callers that keep no limits, whole-long-texts: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" whole-long-texts \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
