tests/run ends a test that does not end, with all that it has started, and goes
on with the others.  The log of the test has what its processes did.

  $ mkdir build; export BUILD=$PWD/build TEST_TIMEOUT_S=6
  $ cat > hangs.t <<'END'
  >   $ sleep 1000 > out 2>&1 & python3 "$ROOT/tests/soak/stack_dump.py" 2> "$LOGS/$TESTFILE.err"
  > END
  $ cat > ends.t <<'END'
  >   $ echo end
  >   end
  > END
  $ timeout -s KILL 60 "$ROOT/tests/run" "$PWD/hangs.t" "$PWD/ends.t" > verdicts
  [1]
  $ grep -E '^(passed|failed)|[0-9] failed$' verdicts | sed 's/ [0-9]*s$//' | sort
  1 passed, 1 failed
  failed hangs.t (timed out)
  passed ends.t
  $ log=$BUILD/test-logs/hangs.t.log
  $ grep -c ' sleep 1000$' "$log"
  1
  $ grep -o 'in wait_for_event' "$log" | sort -u
  in wait_for_event
  $ pids=$(awk '/ sleep 1000$/ { print $1 }' "$log")
  $ ps -o args= $pids | grep 'sleep 1000'
  [1]

A process that a test leaves behind is named in the test's log, and ended.

  $ cat > leaves.t <<'END'
  >   $ sleep 1000 > out 2>&1 & echo end
  >   end
  > END
  $ timeout -s KILL 60 "$ROOT/tests/run" "$PWD/leaves.t" | tail -n 1
  1 passed, 0 failed
  $ pids=$(awk '/ sleep 1000$/ { print $1 }' "$BUILD/test-logs/leaves.t.log")
  $ [ -n "$pids" ] && ps -o args= $pids | grep 'sleep 1000'
  [1]
