A crowd of callers that keep no limits, bodies-without-route: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" bodies-without-route \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
