All open connections to the workers go silent while half of the workers are
idle.  The gangs that come for these later are started in 1.5 s, half of the
time that a job may wait, and no lease of the others lapses.

  $ python3 "$ROOT/tests/soak/soak_waiting.py" 1 --scene silent --hosts 3 \
  >   --workers 8 --traffic 7 --finish 5 --check 11 --wait 1.5 2> /dev/null
  kept
