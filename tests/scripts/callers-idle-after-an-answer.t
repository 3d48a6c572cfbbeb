A crowd of callers that keep no limits, idle-after-an-answer: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" idle-after-an-answer \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
