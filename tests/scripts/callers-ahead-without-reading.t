A crowd of callers that keep no limits, ahead-without-reading: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" ahead-without-reading \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
