A crowd of callers that keep no limits, bodies-in-one-piece: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" bodies-in-one-piece \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
