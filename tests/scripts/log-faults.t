The log of three entry hosts fails: it loses answers, refuses, does not answer, or drops
records.  Callers get the actual outcome, and no host returns to an older revision.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ . "$ROOT/tests/scripts/cluster.sh"
  $ . "$ROOT/tests/scripts/gangs.sh"
  $ snapshot_interval_ms=1000
  $ gang_cluster 3 8
  $ for i in 2 3 4 5; do sed "s/weight: 1/weight: $i/" gangs.yaml > $i.yaml; done
  $ fault () { post "$(url log)/control" "$1"; echo; }
  $ log_is ()  # VALUE NAME...: what the hosts say of the log
  > {
  >   local value=$1 name
  >   shift
  >   for name; do
  >     wait_for 10 is_value "$value" status_field "$name" caught_up
  >   done
  > }

Answers are lost after the append took effect: the operator gets the actual outcome, and
the revision is made once:

  $ fault '{"drop_answers":2}'
  {}
  $ apply e2 2.yaml 1 | json revision
  2
  $ in_force 2 e1 e2 e3

An outage with errors: changes and jobs are refused, and none of them takes effect later:

  $ fault '{"outage":true,"mode":"error"}'
  {}
  $ log_is false e1 e2 e3
  $ apply e1 3.yaml 2 | json error
  log_unavailable
  $ submit e3 '{"team":"crew","tasks":1,"accelerators":1,"cpus_milli":1000,"memory_mb":100,"payload":{}}' | json state
  refused
  $ fault '{"outage":false}'
  {}
  $ log_is true e1 e2 e3
  $ for i in 1 2 3; do status_field e$i revision; done
  2
  2
  2

A silent outage begins during an apply: the outcome is unknown, and the operator is never
told that the change was refused:

  $ fault '{"slow_ms":500}'
  {}
  $ apply e1 3.yaml 2 > answer &
  $ apply_pid=$!
  $ sleep 0.1
  $ fault '{"outage":true,"mode":"silent","slow_ms":0}'
  {}
  $ log_is false e1 e2 e3
  $ wait $apply_pid
  $ json state < answer | grep -v refused | sed 's/null/unknown/'
  unknown
  $ fault '{"outage":false}'
  {}
  $ log_is true e1 e2 e3
  $ now=$(status_field e1 revision)
  $ in_force "$now" e1 e2 e3
  $ apply e2 4.yaml "$now" | json revision | sed "s/^$((now + 1))$/the next/"
  the next

The log keeps only the newest record: a new host starts from the snapshot, and another
host takes over when the planner's host is killed:

  $ fault '{"retention_records":1}'
  {}
  $ apply e3 5.yaml $((now + 1)) | json revision | sed "s/^$((now + 2))$/the next/"
  the next
  $ in_force $((now + 2)) e1 e2 e3
  $ entry e4
  $ in_force $((now + 2)) e4
  $ planner=$(status_field e4 planner)
  $ stop "$planner" KILL
  [137]
  $ replaced () { [ "$(status_field e4 planner)" != "$planner" ]; }
  $ wait_for 10 replaced

An outage outlasts the retention: the memory of the hosts is the only copy of the state,
and a new host gets the state from them:

  $ fault '{"outage":true,"mode":"error"}'
  {}
  $ log_is false e4
  $ sleep 1.5
  $ fault '{"outage":false,"retention_records":0,"retention_ms":1}'
  {}
  $ log_is true e4
  $ fault '{"retention_ms":0}'
  {}
  $ entry e5
  $ in_force $((now + 2)) e5
  $ log_is true e5
  $ cp 5.yaml 6.yaml; echo "# again" >> 6.yaml
  $ apply e5 6.yaml $((now + 2)) | json revision | sed "s/^$((now + 3))$/the next/"
  the next
