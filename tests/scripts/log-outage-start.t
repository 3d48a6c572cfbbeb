A host that starts during an outage of the log gets the configuration and the
jobs from the other entry hosts, and serves.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ . "$ROOT/tests/scripts/cluster.sh"
  $ cluster addis 2
  $ job=$(submit e1 '{"team":"routes","tasks":1,"accelerators":8,"payload":{"run_ms":1}}' 20000 | json job)
  $ post "$(url log)/control" '{"outage":true}' > /dev/null
  $ entry e3
  $ in_force 1 e3
  $ get "$(url e3)/v1/jobs/$job" | json state
  finished
  $ request e3 routes "while the log is away" | cut -d' ' -f1,4-
  answer while the log is away
  $ wait_for 10 is_value false status_field e3 log_up
  $ submit e3 '{"team":"routes","tasks":1,"accelerators":8}' | json error
  log_unavailable

When the log is back, the host continues to read it where that state ends.

  $ post "$(url log)/control" '{"outage":false}' > /dev/null
  $ wait_for 10 is_value true status_field e3 caught_up
  $ submit e3 '{"team":"routes","tasks":1,"accelerators":8,"payload":{"run_ms":1}}' 20000 | json state
  finished
