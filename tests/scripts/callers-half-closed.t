A crowd of callers that keep no limits, half-closed: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" half-closed \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
