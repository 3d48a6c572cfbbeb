The scheduler's rounds at the size of the large fleet, full and with a burst of
urgent gangs: none takes half of the term's timeout (500 ms), in which the
planner must have written a heartbeat.

  $ "$BUILD/bin/bench-rounds" 1100 400 100 > rounds.out
  $ sed 's/ .*longest_us=/ /' rounds.out | awk '{ print $1, $2 < 250000 ? "in time" : "late: " $2 " us" }'
  mixed in time
  burst in time

A survey of what waits, which the planner makes each second, takes no longer
than such a round.

  $ "$BUILD/bin/bench-rounds" 1100 400 20 16 > waiting.out
  $ sed 's/ .*longest_us=/ /' waiting.out | awk '/waiting/ { print $1, $2 < 100000 ? "in time" : "late: " $2 " us" }'
  waiting in time
