A crowd of callers that keep no limits, bodies-to-metrics: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" bodies-to-metrics \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
