A crowd of callers that keep no limits, bodies-in-chunks: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" bodies-in-chunks \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
