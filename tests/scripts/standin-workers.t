The stand-in of workers.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ start hosts ft-hosts
  $ hosts=http://127.0.0.1:$hosts_port
  $ start workers ft-workers --count 20 --data-centres bole,merkato \
  >   --cpus 16 --memory-mb 1000 --hosts-url $hosts --history history
  $ control=http://127.0.0.1:$workers_port/control
  $ get $hosts/hosts | python3 -c '
  > import json, sys
  > for host in json.load(sys.stdin)["hosts"][::7]:
  >     print(host["name"], host["kind"], host["state"], host["data_centre"],
  >           host["rack"], host["cpus_milli"], host["memory_mb"],
  >           host["accelerators"])'
  w01 worker live bole r01 16000 1000 8
  w08 worker live bole r01 16000 1000 8
  w15 worker live merkato r02 16000 1000 8
  $ one=http://127.0.0.1:$(host_port $hosts w01)
  $ lease ()  # TERM JOB MASK [TTL_MS]
  > {
  >   post $one/lease "{\"term\":$1,\"host\":\"a\",\"job\":\"$2\",\"attempt\":1,\"ttl_ms\":${4:-600000},
  >     \"tasks\":[{\"task\":0,\"cpus_milli\":1000,\"memory_mb\":100,\"accelerators\":$3}]}"
  >   echo
  > }
  $ call ()  # CALL TERM JOB [MORE]
  > {
  >   post $one/$1 "{\"term\":$2,\"job\":\"$3\",\"attempt\":1${4:-}}"
  >   echo
  > }
  $ renew ()  # SEEN TTL_MS JOBS
  > {
  >   post $one/renew "{\"host\":\"a\",\"term\":0,\"ttl_ms\":$2,\"seen\":$1,\"jobs\":$3}"
  >   echo
  > }

Leases exclude each other; the same lease is granted again:

  $ lease 1 j1 3 | json granted
  true
  $ lease 1 j1 3 | json granted
  true
  $ lease 1 j1 7 | json error
  busy
  $ lease 1 j2 2 | json error
  busy
  $ lease 1 j2 256 | json error
  busy
  $ lease 1 j2 4 | json granted
  true
  $ post $one/lease '{"term":1,"job":"j3","attempt":1,"ttl_ms":1000,"tasks":[{"task":0,"cpus_milli":14001}]}' | json error
  busy
  $ post $one/lease '{"term":1,"job":"j3","attempt":1,"ttl_ms":1000,"tasks":[]}' | json error
  bad_request

A task runs under its lease and is started once; its end stays in the list of events until it is acknowledged:

  $ call start 1 j3 | json error
  no_lease
  $ call start 1 j1 ',"payload":{"run_ms":20,"output":"result"}'
  {}
  $ call start 1 j1 ',"payload":{"run_ms":20,"output":"result"}'
  {}
  $ wait_for 10 has '"output":"result"' renew 0 600000 '[]'
  $ renew 0 600000 '[["j1",1],["j2",1],["j9",1]]' > answer
  $ json unknown < answer
  [["j9", 1]]
  $ json leases < answer
  [["j2", 1]]
  $ json events 0 ok < answer
  true
  $ call start 1 j1
  {}
  $ renew "$(json events 0 seq < answer)" 600000 '[["j1",1]]' > answer
  $ json events < answer
  []
  $ json unknown < answer
  [["j1", 1]]
  $ grep -c '"what":"start"' history
  1
  $ lease 1 j1 3 | json error
  ended

Calls under an older term are refused, except renewals:

  $ lease 5 j4 8 | json granted
  true
  $ call start 4 j4 | json error
  stale_term
  $ call start 4 j4 | json term
  5
  $ renew 0 600000 '[["j4",1]]' | json unknown
  []

A task throttled to 0 percent makes no progress; a checkpoint and a stop report its progress:

  $ call start 5 j4 ',"payload":{"run_ms":600000,"start_at_ms":300000}'
  {}
  $ call throttle 5 j4 ',"percent":0'
  {}
  $ call checkpoint 5 j4 > first; call checkpoint 5 j4 | diff - first
  $ [ "$(json progress_ms < first)" -ge 300000 ] && echo further
  further
  $ call stop 5 j4 > stopped; json started < stopped
  true
  $ json progress_ms < stopped | diff - <(json progress_ms < first)
  $ call stop 5 j4 | json started
  true
  $ call start 5 j4 | json error
  no_lease
  $ lease 5 j4 8 | json error
  ended
  $ call stop 5 j5 | json started
  false
  $ lease 5 j5 8 | json error
  ended

The reported usage is what the tasks use:

  $ lease 5 j6 8 | json granted
  true
  $ call start 5 j6 ',"payload":{"run_ms":600000,"use_percent":40}'
  {}
  $ renew 0 600000 '[]' > answer; json usage 0 cpus_milli < answer; json usage 0 memory_mb < answer
  400
  40

A lease that is not renewed lapses:

  $ renew 0 100 '[["j6",1]]' > answer
  $ wait_for 10 has '"lapsed":true' renew 0 600000 '[]'
  $ call start 5 j6 | json error
  no_lease
  $ grep -c '"what":"lapse","job":"j6"' history
  1

A failing task, a lease of which one task fails, a worker that fails all tasks, and one that refuses to start any:

  $ renew "$(get $one/state | json events 0 seq)" 600000 '[]' | json events
  []
  $ lease 5 f1 8 | json granted
  true
  $ call start 5 f1 ',"payload":{"fail":true}'
  {}
  $ post $one/lease '{"term":5,"job":"f2","attempt":1,"ttl_ms":600000,"tasks":[{"task":0},{"task":1}]}' | json granted
  true
  $ call start 5 f2 ',"payload":{"fail_task":1}'
  {}
  $ post $control '{"worker":"w01","fail_all":true}'; echo
  {}
  $ lease 5 f3 16 | json granted
  true
  $ call start 5 f3 ',"payload":{"run_ms":600000}'
  {}
  $ wait_for 10 has '"job":"f3"' get $one/state
  $ wait_for 10 eval '[ "$(renew 0 600000 "[]" | json events length)" = 4 ]'
  $ renew 0 600000 '[]' | python3 -c '
  > import json, sys
  > for event in sorted(json.load(sys.stdin)["events"], key=lambda e: (e["job"], e["task"])):
  >     print(event["job"], event["task"], event["ok"], event["output"])'
  f1 0 False 
  f2 0 True task 0 on w01 done
  f2 1 False 
  f3 0 False 
  $ post $control '{"worker":"w01","fail_all":false,"refuse_start":true}'; echo
  {}
  $ lease 5 f4 16 | json granted
  true
  $ call start 5 f4 | json error
  refused
  $ post $control '{"worker":"w01","refuse_start":false}'; echo
  {}

A task that fails at its end, with a given probability:

  $ post $control '{"worker":"*","fail_percent":100}'; echo
  {}
  $ lease 5 p1 32 | json granted
  true
  $ call start 5 p1
  {}
  $ wait_for 10 eval 'renew 0 600000 "[]" | has "\"job\":\"p1\",\"attempt\":1,\"task\":0,\"kind\":\"ended\",\"ok\":false" cat'
  $ post $control '{"worker":"*","fail_percent":0}'; echo
  {}

A stop takes as long as the tasks need, but no longer than the grace time:

  $ call start 5 f4 ',"payload":{"run_ms":600000,"stop_ms":600000}'
  {}
  $ call stop 5 f4 ',"grace_ms":50' | json stopped
  true

A restart changes the boot number and drops leases, events and the term; the sequence numbers of events continue:

  $ lease 5 r1 16 | json granted
  true
  $ get $one/state > before
  $ post $control '{"worker":"w01","restart":true}'; echo
  {}
  $ get $one/state > after
  $ json leases < after; json events < after; json term < after
  []
  []
  0
  $ [ "$(json boot < after)" -gt "$(json boot < before)" ] && echo later
  later
  $ lease 1 r2 1 | json granted
  true
  $ call start 1 r2
  {}
  $ wait_for 10 has '"job":"r2"' renew "$(json events 0 seq < before)" 600000 '[]'

A frozen worker answers no call and applies none; one that is gone cannot be connected to:

  $ post $control '{"worker":"w01","frozen":true}'; echo
  {}
  $ status_limit_s=0.3 status POST $one/lease '{"term":1,"job":"z","attempt":1,"ttl_ms":1000,"tasks":[{"task":0}]}'
  000
  $ post $control '{"worker":"w01","frozen":false}'; echo
  {}
  $ get $one/state | json leases
  []
  $ lease 1 g1 2 | json granted
  true
  $ call start 1 g1 ',"payload":{"run_ms":600000}'
  {}
  $ post $one/control '{"worker":"w01","gone":true}'; echo
  {}
  $ wait_for 10 has_status 000 GET $one/state
  $ post $control '{"worker":"w01","gone":false}'; echo
  {}
  $ get $one/state | json leases
  []
  $ lease 1 g1 2 | json granted
  true
  $ stop workers; echo "status $?"
  status 0
  $ cat workers.err

Usage is reported with a lag of --usage-lag-ms:

  $ start lagging ft-workers --count 1 --usage-lag-ms 600000
  $ one=http://127.0.0.1:$(get http://127.0.0.1:$lagging_port/hosts | json hosts 0 port)
  $ lease 1 j1 3 | json granted
  true
  $ call start 1 j1 ',"payload":{"run_ms":600000}'
  {}
  $ renew 0 600000 '[]' | json usage
  []
  $ stop lagging; echo "status $?"
  status 0
