The report of burn rates: requests are summed over the entry hosts, jobs are
counted once, and a replaced host reports the same jobs again.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ . "$ROOT/tests/scripts/cluster.sh"
  $ ctl () { "$BUILD/bin/foxtailgapctl" "$@"; }
  $ cluster addis 2
  $ hosts () { echo "127.0.0.1:$e1_port,127.0.0.1:$e2_port"; }
  $ for host in e1 e2; do
  >   for i in 1 2 3; do request $host clinics "ward $host $i" > /dev/null; done
  > done

One request is answered too late for its objective, which is one second:

  $ request e2 clinics '{"run_ms":1200}' > /dev/null

One job succeeds, and one fails after its last attempt:

  $ job='"team":"rounds","kind":"wash-cycle","tasks":1,"accelerators":1,"cpus_milli":1000'
  $ submit e1 "{$job,\"payload\":{\"run_ms\":1}}" 20000 | json state
  finished
  $ submit e1 "{$job,\"payload\":{\"run_ms\":1,\"fail\":true}}" 20000 | json state
  failed
  $ ctl report burn --hosts "$(hosts)" | tr -s ' '
  TEAM KIND OF LATENCY-MS PERMILLE GOOD-6H BAD-6H BURN-5M BURN-30M BURN-1H BURN-6H ALARM
  clinics rounds-planning requests 1000 999 6 1 142.9 142.9 142.9 142.9 fast
  rounds wash-cycle jobs 3600000 990 1 1 50.0 50.0 50.0 50.0 fast

A replaced host has lost the requests that it had counted; its figures of jobs
are the same as before.

  $ stop e2; entry e2; in_force 1 e2
  $ wait_for 10 is_value true status_field e2 caught_up
  $ ctl report burn --hosts "127.0.0.1:$e2_port" --plot burn.svg | tr -s ' ' | tail -n +2
  rounds wash-cycle jobs 3600000 990 1 1 50.0 50.0 50.0 50.0 fast
  $ grep -c 'rounds wash-cycle (jobs)' burn.svg
  1

A host that does not answer is named, and an unknown report is refused.

  $ stop e1
  $ ctl report burn --hosts "$(hosts)" 2>&1 > /dev/null | tail -n 1 | sed 's/:[0-9]*:/:PORT:/'
  entry host 127.0.0.1:PORT: not in this report
  $ ctl report heat --hosts "$(hosts)"
  foxtailgapctl: REPORT must be burn
  [2]
