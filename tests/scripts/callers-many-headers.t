A crowd of callers that keep no limits, many-headers: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" many-headers \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
