The planner's host is killed after the end of the traffic; seconds later a small
job comes to be due beside the room that is reserved for a gang.

  $ python3 "$ROOT/tests/soak/soak_waiting.py" 1 --scene reserved --traffic 7 \
  >   --check 10 --kill 11.5 2> "${LOGS:-.}/$TESTFILE.err"
  kept
