A crowd of callers that keep no limits, over-the-limit-in-chunks: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" over-the-limit-in-chunks \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
