A crowd of callers that keep no limits, bodies-to-readiness: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" bodies-to-readiness \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
