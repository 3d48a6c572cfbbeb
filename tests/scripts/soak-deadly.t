The first tasks of some jobs crash the workers that start them, and workers that
do not guard their capacity shrink: few starts, no worker over its capacity.

  $ python3 "$ROOT/tests/soak/soak.py" 42 6 deadly 2> "${LOGS:-.}/$TESTFILE.err"
  kept
