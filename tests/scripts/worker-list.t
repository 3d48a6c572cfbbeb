Most of 5,000 entries of the list of workers are of no use: jobs run on the good
ones, and memory and log stay small.

  $ python3 "$ROOT/tests/soak/worker_list.py" 2> "${LOGS:-.}/$TESTFILE.err"
  all jobs are accepted
  all jobs complete
  no task ran twice
  the host stays small
  the log stays short
  the log names entries of no use
