A crowd of callers that keep no limits, slow-readers: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" slow-readers \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
