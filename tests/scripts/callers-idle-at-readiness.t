A crowd of callers that keep no limits, idle-at-readiness: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" idle-at-readiness \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
