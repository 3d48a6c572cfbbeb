A crowd of callers that keep no limits, whole-empty-steps: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" whole-empty-steps \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
