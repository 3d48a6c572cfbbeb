A crowd of callers that keep no limits, slow-senders: see tests/callers/callers.py.

  $ python3 "$ROOT/tests/callers/callers.py" slow-senders \
  >   2> "${LOGS:-.}/$TESTFILE.err"
  kept
