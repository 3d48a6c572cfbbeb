Jobs wait beside half free workers: a gang that fits in no one rack, and a small
job beside the room that is reserved for a gang.  Each is started in 3 s.

  $ python3 "$ROOT/tests/soak/soak_waiting.py" 1 --scene rack --traffic 7 \
  >   --check 10 2> "${LOGS:-.}/$TESTFILE.rack.err" > rack & rack=$!
  $ python3 "$ROOT/tests/soak/soak_waiting.py" 1 --scene reserved --traffic 7 \
  >   --check 10 2> "${LOGS:-.}/$TESTFILE.err"
  kept
  $ wait $rack
  $ cat rack
  kept
