Jobs through real daemons: a job that can never run is refused at submission,
and any entry host explains a job that waits or has ended.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ . "$ROOT/tests/scripts/cluster.sh"
  $ cluster addis 2
  $ submit e1 '{"team":"clinics","tasks":60,"accelerators":8,"checkpointable":true,"repeatable":true}' | json error
  never_fits
  $ submit e2 '{"team":"accounts","tasks":1,"accelerators":9}' | json error
  never_fits
  $ submit e1 '{"team":"nobody","tasks":1}' | json error
  unknown_team

Jobs that use the whole guarantee of a team, and one that has to wait for it.

  $ long='"payload":{"run_ms":60000}'
  $ for i in 1 2 3 4 5 6 7 8; do
  >   submit e1 "{\"team\":\"clinics\",\"accelerators\":8,\"cpus_milli\":120000,\"key\":\"k$i\",$long}" > /dev/null
  > done
  $ is_running () { [ "$(get "$(url e1)/v1/jobs?state=running" | json jobs length)" = "$1" ]; }
  $ wait_for 10 is_running 8
  $ waits=$(submit e2 "{\"team\":\"clinics\",\"accelerators\":8,\"cpus_milli\":120000,\"key\":\"k9\",$long}" | json job)
  $ explained () { get "$(url "$1")/v1/explain/$waits" | json text; }
  $ wait_for 5 is_value queued sh -c "curl -s $(url e1)/v1/jobs/$waits | python3 -c 'import json,sys; print(json.load(sys.stdin)[\"state\"])'"
  $ [ "$(explained e1)" = "$(explained e2)" ] && explained e1
  waits for a guarantee of its team; it may not borrow; number 1 of its team's queue
  $ get "$(url e2)/v1/placement" | json running
  8
  $ get "$(url e1)/v1/jobs?team=clinics&state=" | json jobs length
  9

The job is cancelled while it waits, and is reported as not run.

  $ delete "$(url e2)/v1/jobs/$waits" | json state
  cancelled
  $ get "$(url e1)/v1/jobs/$waits?wait_ms=1000" | json ran
  false
  $ explained e2
  The job is over: cancelled.

The same key gets the same job again; with another body it is a conflict.

  $ first=$(submit e1 "{\"team\":\"clinics\",\"accelerators\":8,\"cpus_milli\":120000,\"key\":\"k1\",$long}" | json job)
  $ [ "$first" = "$(submit e2 "{\"team\":\"clinics\",\"accelerators\":8,\"cpus_milli\":120000,\"key\":\"k1\",$long}" | json job)" ]
  $ submit e2 "{\"team\":\"clinics\",\"accelerators\":4,\"key\":\"k1\"}" | json error
  key_conflict
