A crowd of callers that keep no limits, idle-at-metrics: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" idle-at-metrics \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
