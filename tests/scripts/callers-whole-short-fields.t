A crowd of callers that keep no limits, whole-short-fields: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" whole-short-fields \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
