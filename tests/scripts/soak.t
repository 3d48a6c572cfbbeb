Three real hosts of the scheduler on a stand-in of the users' platform, with
random faults for a few seconds: no task runs twice at once, none starts after
its success was acknowledged, and every accepted job completes.

  $ python3 "$ROOT/tests/soak/soak.py" 7 6 2> "${LOGS:-.}/$TESTFILE.err"
  kept

The same while nobody reads the hosts' logs: a full pipe does not stop a host.

  $ python3 "$ROOT/tests/soak/soak.py" 8 4 unread 2> "${LOGS:-.}/$TESTFILE.unread.err"
  kept

Workers are replaced one after the other while connections are reset and hosts
are killed: the same, and each caller of a host that runs on gets a whole answer.

  $ python3 "$ROOT/tests/soak/soak.py" 31 6 release 2> "${LOGS:-.}/$TESTFILE.release.err"
  kept
