Three real hosts of the scheduler on a stand-in of the users' platform, with
random faults for a few seconds: no task twice at once, none after its end, and
every accepted job completes.

  $ python3 "$ROOT/tests/soak/soak.py" 7 6 2> /dev/null
  kept

The same with nobody reading the hosts' logs: service goes on.

  $ python3 "$ROOT/tests/soak/soak.py" 8 4 unread 2> /dev/null
  kept
