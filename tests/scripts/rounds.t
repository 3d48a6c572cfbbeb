The scheduler's rounds at the size of the large fleet, full and with a burst of
urgent gangs: none takes half of the term's timeout (500 ms), in which the
planner must have written a heartbeat.

  $ "$BUILD/bin/bench-rounds" 1100 400 100 > rounds.out
  $ sed 's/ .*longest_us=/ /' rounds.out | awk '{ print $1, $2 < 250000 ? "in time" : "late: " $2 " us" }'
  mixed in time
  burst in time
