A crowd of callers that keep no limits, bodies-in-pieces: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" bodies-in-pieces \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
