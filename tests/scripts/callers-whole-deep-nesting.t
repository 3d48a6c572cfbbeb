A crowd of callers that keep no limits, whole-deep-nesting: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" whole-deep-nesting \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
