A crowd of callers that keep no limits, silent: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" silent \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
