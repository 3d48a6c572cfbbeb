A crowd of callers that keep no limits, over-the-limit: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" over-the-limit \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
