The history checker: each check passes a good history and reports its violation.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ check ()  # OPTIONS...: judges the history on standard input
  > {
  >   cat > history
  >   "$BUILD/bin/history" "$@" history
  >   echo "status $?"
  > }

An empty history does not pass, and neither does one without a required kind of event:

  $ check < /dev/null
  events:
  checked: at_most_once 0 not_run 0 answers 0 jobs 0 gangs 0 leases 0 leaving 0
  violations: 0
  not checked
  status 2
  $ echo '{"t_ms":1,"who":"w1","what":"lease","job":"j1","attempt":1,"task":0,"accelerators":1}' | check --require lease,start
  events: lease 1
  checked: at_most_once 0 not_run 0 answers 0 jobs 0 gangs 0 leases 1 leaving 0
  violations: 0
  no event: start
  not checked
  status 2
  $ "$BUILD/bin/history" no-such-file
  no-such-file: No such file or directory
  [2]
  $ "$BUILD/bin/history"
  */history: missing option FILE (glob)
  [2]
  $ printf '{"t_ms":1,"who":"w1","what":"lease","job":"j1"}\n{"t_ms":2,"who"' | check
  events: lease 1
  checked: at_most_once 0 not_run 0 answers 0 jobs 0 gangs 0 leases 1 leaving 0
  violations: 0
  malformed lines: 1
  status 1

A good history of requests; several files are merged in the order of time:

  $ cat > requests <<'END'
  > {"t_ms":10,"who":"t","what":"sent","body":"b1","repeatable":false}
  > {"t_ms":11,"who":"u1","what":"run","request":"r1","body":"b1"}
  > {"t_ms":12,"who":"u1","what":"answer","request":"r1","body":"b1","answer":"a1"}
  > {"t_ms":13,"who":"t","what":"told","body":"b1","state":"finished","answer":"a1"}
  > {"t_ms":20,"who":"t","what":"sent","request":"r2","repeatable":true}
  > {"t_ms":21,"who":"u1","what":"run","request":"r2","body":"b2"}
  > {"t_ms":22,"who":"u2","what":"run","request":"r2","body":"b2"}
  > {"t_ms":23,"who":"u2","what":"answer","request":"r2","body":"b2","answer":"a2"}
  > {"t_ms":24,"who":"t","what":"told","request":"r2","state":"finished","answer":"a2"}
  > {"t_ms":30,"who":"t","what":"sent","body":"b3","repeatable":false}
  > {"t_ms":31,"who":"t","what":"told","body":"b3","state":"not_run"}
  > END
  $ check --require sent,told,run,answer < requests
  events: answer 2 run 3 sent 3 told 3
  checked: at_most_once 2 not_run 1 answers 2 jobs 0 gangs 0 leases 0 leaving 0
  violations: 0
  status 0

A non-repeatable request that ran twice, under one id or two:

  $ { cat requests; echo '{"t_ms":40,"who":"u2","what":"run","request":"r9","body":"b1"}'; } | check | grep -v '^events\|^checked'
  violation at_most_once: body b1 ran 2 times, on u1, u2
  violations: 1
  status 1
  $ { cat requests; echo '{"t_ms":40,"who":"t","what":"sent","request":"r2","repeatable":false}'; } | check | grep -v '^events\|^checked'
  violation at_most_once: request r2 ran 2 times, on u1, u2
  violations: 1
  status 1

A request that was reported as not run, and ran, before or after the report:

  $ { cat requests; echo '{"t_ms":40,"who":"u2","what":"run","request":"r3","body":"b3"}'; } | check | grep -v '^events\|^checked'
  violation not_run: body b3 was told not to have run, and ran on u2
  violations: 1
  status 1

After that report the request may be sent again and run; a non-repeatable one must not have run before either. A
request id distinguishes several sends of one body:

  $ cat > again <<'END'
  > {"t_ms":10,"who":"t","what":"sent","body":"b1"}
  > {"t_ms":11,"who":"t","what":"told","body":"b1","state":"not_run"}
  > {"t_ms":20,"who":"t","what":"sent","body":"b1"}
  > {"t_ms":21,"who":"u1","what":"run","request":"r1","body":"b1"}
  > {"t_ms":30,"who":"t","what":"sent","body":"b1"}
  > {"t_ms":31,"who":"t","what":"told","body":"b1","request":"r2","state":"not_run"}
  > END
  $ check < again | grep '^violation'
  violations: 0
  $ sed 's/"t_ms":21/"t_ms":15/' again | check | grep '^violation'
  violation not_run: body b1 was told not to have run, and ran on u1
  violations: 1
  $ sed 's/"request":"r2",//' again | check | grep '^violation'
  violations: 0
  $ sed 's/"request":"r2"/"request":"r1"/' again | check | grep '^violation'
  violation not_run: request r1 was told not to have run, and ran on u1
  violations: 1
  $ sed -e 's/"request":"r2",//' -e 's/"body":"b1"}/"body":"b1","repeatable":false}/' again | check | grep '^violation'
  violation not_run: body b1 was told not to have run, and ran on u1
  violations: 1

An answer of another request, and one of a request that did not run:

  $ { cat requests; echo '{"t_ms":40,"who":"t","what":"told","body":"b1","state":"finished","answer":"a2"}'; } | check | grep -v '^events\|^checked'
  violation answers: body b1 got the answer a2, which no upstream gave to it
  violations: 1
  status 1
  $ { cat requests; echo '{"t_ms":40,"who":"t","what":"told","body":"b3","state":"finished","answer":"a2"}'; } | check | grep -v '^events\|^checked'
  violation answers: body b3 was told to have finished, and did not run
  violations: 1
  status 1

A good history of jobs: j1 runs whole, j2 is stopped and runs whole in a second attempt, j3 is refused:

  $ cat > jobs <<'END'
  > {"t_ms":100,"who":"t","what":"sent","job":"j1","tasks":2,"repeatable":false}
  > {"t_ms":101,"who":"w1","what":"lease","job":"j1","attempt":1,"task":0,"accelerators":3}
  > {"t_ms":102,"who":"w2","what":"lease","job":"j1","attempt":1,"task":1,"accelerators":3}
  > {"t_ms":103,"who":"w1","what":"start","job":"j1","attempt":1,"task":0}
  > {"t_ms":150,"who":"w2","what":"start","job":"j1","attempt":1,"task":1}
  > {"t_ms":200,"who":"w1","what":"end","job":"j1","attempt":1,"task":0,"ok":true}
  > {"t_ms":900,"who":"w2","what":"end","job":"j1","attempt":1,"task":1,"ok":true}
  > {"t_ms":901,"who":"t","what":"told","job":"j1","state":"finished"}
  > {"t_ms":910,"who":"t","what":"sent","job":"j2","tasks":2}
  > {"t_ms":911,"who":"w1","what":"lease","job":"j2","attempt":1,"task":0,"accelerators":3}
  > {"t_ms":912,"who":"w2","what":"lease","job":"j2","attempt":1,"task":1,"accelerators":3}
  > {"t_ms":913,"who":"w1","what":"start","job":"j2","attempt":1,"task":0}
  > {"t_ms":914,"who":"w2","what":"start","job":"j2","attempt":1,"task":1}
  > {"t_ms":950,"who":"w1","what":"down"}
  > {"t_ms":960,"who":"w1","what":"up"}
  > {"t_ms":990,"who":"w2","what":"stop","job":"j2","attempt":1,"task":1}
  > {"t_ms":1000,"who":"w1","what":"lease","job":"j2","attempt":2,"task":0,"accelerators":3}
  > {"t_ms":1001,"who":"w2","what":"lease","job":"j2","attempt":2,"task":1,"accelerators":3}
  > {"t_ms":1002,"who":"w1","what":"start","job":"j2","attempt":2,"task":0}
  > {"t_ms":1003,"who":"w2","what":"start","job":"j2","attempt":2,"task":1}
  > {"t_ms":1100,"who":"w1","what":"end","job":"j2","attempt":2,"task":0,"ok":true}
  > {"t_ms":1101,"who":"w2","what":"end","job":"j2","attempt":2,"task":1,"ok":true}
  > {"t_ms":1102,"who":"t","what":"told","job":"j2","state":"finished"}
  > {"t_ms":1110,"who":"t","what":"sent","job":"j3","tasks":9}
  > {"t_ms":1111,"who":"t","what":"told","job":"j3","state":"not_run"}
  > {"t_ms":3000,"who":"t","what":"note"}
  > END
  $ check --gang-bound-ms 100 < jobs
  events: down 1 end 4 lease 6 note 1 sent 3 start 6 stop 1 told 3 up 1
  checked: at_most_once 1 not_run 1 answers 0 jobs 2 gangs 3 leases 6 leaving 0
  violations: 0
  status 0

Part of a gang that runs for longer than the bound: before all its tasks have started ...

  $ check --gang-bound-ms 40 < jobs | grep -v '^events\|^checked'
  violation gangs: job j1, attempt 1: 2 of 2 tasks were started, and part of the gang ran for 47 ms
  violations: 1
  status 1

... when a task is never started ...

  $ grep -v '"start","job":"j2","attempt":2,"task":1' jobs | check --gang-bound-ms 60 | grep -v '^events\|^checked'
  violation gangs: job j2, attempt 2: 1 of 2 tasks were started, and part of the gang ran for 98 ms
  violation jobs: job j2 was told to have finished, and no attempt has ended whole
  violations: 2
  status 1
  $ sed 's/"tasks":2,"repeatable"/"tasks":3,"repeatable"/' jobs | check --gang-bound-ms 100 | grep -v '^events\|^checked'
  violation gangs: job j1, attempt 1: 2 of 3 tasks were started, and part of the gang ran for 797 ms
  violation jobs: job j1 was told to have finished, and no attempt has ended whole
  violations: 2
  status 1

... after a task was lost with its worker, and when the other tasks are never stopped ...

  $ sed 's/"t_ms":990/"t_ms":1990/' jobs | check --gang-bound-ms 100 | grep '^violation '
  violation gangs: job j2, attempt 1: task 1 ran on for 1040 ms after a task was lost
  violation leases: accelerator 0 of w2 is leased to j2/1/1 and to j2/2/1
  violation leases: accelerator 1 of w2 is leased to j2/1/1 and to j2/2/1
  $ grep -v '"t_ms":990' jobs | check --gang-bound-ms 100 | grep '^violation gangs'
  violation gangs: job j2, attempt 1: task 1 ran on for 2050 ms after a task was lost

... or failed or lapsed:

  $ sed '/"t_ms":200/s/true/false/' jobs | check --gang-bound-ms 100 | grep '^violation gangs'
  violation gangs: job j1, attempt 1: task 1 ran on for 700 ms after a task was lost
  $ sed '/"t_ms":200/s/"end"/"lapse"/' jobs | check --gang-bound-ms 100 | grep '^violation gangs'
  violation gangs: job j1, attempt 1: task 1 ran on for 700 ms after a task was lost

A lease that an earlier planner gave under the same attempt number, and that
lapses on another worker, is no loss of the task; a lapse on the worker that
runs it is:

  $ earlier ()  # WORKER: leases task 0 of j1 before, and has it lapse
  > {
  >   cat jobs
  >   echo "{\"t_ms\":90,\"who\":\"$1\",\"what\":\"lease\",\"job\":\"j1\",\"attempt\":1,\"task\":0,\"accelerators\":64}"
  >   echo "{\"t_ms\":150,\"who\":\"$1\",\"what\":\"lapse\",\"job\":\"j1\",\"attempt\":1,\"task\":0}"
  > }
  $ earlier w3 | check --gang-bound-ms 100 | grep -v '^events\|^checked'
  violations: 0
  status 0
  $ earlier w1 | check --gang-bound-ms 100 | grep '^violation'
  violation gangs: job j1, attempt 1: task 1 ran on for 750 ms after a task was lost
  violation jobs: job j1 was told to have finished, and no attempt has ended whole
  violations: 2

One task started on two workers:

  $ { cat jobs; echo '{"t_ms":160,"who":"w3","what":"start","job":"j1","attempt":1,"task":1}'; } | check --gang-bound-ms 100 | grep '^violation'
  violation gangs: task 1 of job j1, attempt 1, was started on w2 and on w3
  violations: 1

A non-repeatable job that is started in a second attempt, and a job that was reported as not run, and was started:

  $ { cat jobs; echo '{"t_ms":2000,"who":"t","what":"sent","job":"j2","repeatable":false}'; } | check --gang-bound-ms 100 | grep '^violation'
  violation at_most_once: job j2 was started in 2 attempts
  violations: 1
  $ { cat jobs; echo '{"t_ms":2000,"who":"t","what":"told","job":"j1","state":"not_run"}'; } | check --gang-bound-ms 100 | grep '^violation'
  violation not_run: job j1 was told not to have run, and was started
  violations: 1

A job that was reported as finished, and of which a task has failed:

  $ sed '/"t_ms":1101/s/true/false/' jobs | check --gang-bound-ms 100 | grep '^violation'
  violation jobs: job j2 was told to have finished, and no attempt has ended whole
  violations: 1

The outputs of a job: those of its own tasks pass; those of another job, or only a part, do not:

  $ sed -e '/"end","job":"j1"/s/}/,"output":"o1"}/' -e '/"end","job":"j2"/s/}/,"output":"o2"}/' jobs > outputs
  $ told ()
  > {
  >   cat outputs
  >   echo "{\"t_ms\":2000,\"who\":\"t\",\"what\":\"told\",\"job\":\"j1\",\"state\":\"finished\",\"outputs\":$1}"
  > }
  $ told '["o1","o1"]' | check --gang-bound-ms 100 | grep '^violation\|^checked'
  checked: at_most_once 1 not_run 1 answers 1 jobs 2 gangs 3 leases 6 leaving 0
  violations: 0
  $ told '["o1","o2"]' | check --gang-bound-ms 100 | grep '^violation'
  violation answers: job j1 was told outputs that none of its attempts gave
  violations: 1
  $ told '["o1"]' | check --gang-bound-ms 100 | grep '^violation'
  violation answers: job j1 was told outputs that none of its attempts gave
  violations: 1

Two leases on one accelerator:

  $ { cat jobs; echo '{"t_ms":120,"who":"w1","what":"lease","job":"j9","attempt":1,"task":0,"accelerators":6}'; } | check --gang-bound-ms 100 | grep '^violation'
  violation leases: accelerator 1 of w1 is leased to j1/1/0 and to j9/1/0
  violation leases: accelerator 1 of w1 is leased to j9/1/0 and to j2/1/0
  violations: 2

New work on an upstream that is leaving, within the bound and after it:

  $ cat > leaving <<'END'
  > {"t_ms":100,"who":"hosts","what":"state","name":"u1","state":"live"}
  > {"t_ms":150,"who":"u1","what":"run","request":"r1"}
  > {"t_ms":200,"who":"hosts","what":"state","name":"u1","state":"leaving"}
  > {"t_ms":290,"who":"u1","what":"run","request":"r2"}
  > {"t_ms":500,"who":"u2","what":"run","request":"r3"}
  > END
  $ check --leaving-bound-ms 100 < leaving
  events: run 3 state 2
  checked: at_most_once 0 not_run 0 answers 0 jobs 0 gangs 0 leases 0 leaving 2
  violations: 0
  status 0
  $ { cat leaving; echo '{"t_ms":310,"who":"u1","what":"run","request":"r4"}'; } | check --leaving-bound-ms 100 | grep '^violation'
  violation leaving: u1 ran request r4 110 ms after the list had shown it as leaving
  violations: 1
  $ { cat leaving; echo '{"t_ms":300,"who":"hosts","what":"state","name":"u1","state":"live"}';
  >   echo '{"t_ms":310,"who":"u1","what":"run","request":"r4"}'; } | check --leaving-bound-ms 100 | grep '^violation'
  violations: 0

The history that the stand-ins write can be checked: one request and one gang, run as by a scheduler:

  $ start ups ft-upstreams --count 1 --history live
  $ start workers ft-workers --count 2 --history live
  $ up=http://127.0.0.1:$(get http://127.0.0.1:$ups_port/hosts | json hosts 0 port)
  $ note live sent "\"body\":\"$(digest hello)\",\"repeatable\":false"
  $ answer=$(curl -s -H 'Foxtailgap-Request-Id: r1' -d hello $up/work)
  $ note live told "\"body\":\"$(digest hello)\",\"state\":\"finished\",\"answer\":\"$(digest "$answer")\""
  $ note live sent '"job":"j1","tasks":2'
  $ for i in 0 1; do
  >   port[$i]=$(get http://127.0.0.1:$workers_port/hosts | json hosts $i port)
  >   post http://127.0.0.1:${port[$i]}/lease "{\"term\":1,\"host\":\"a\",\"job\":\"j1\",\"attempt\":1,
  >     \"ttl_ms\":60000,\"tasks\":[{\"task\":$i,\"accelerators\":255}]}" | json granted
  > done
  true
  true
  $ for i in 0 1; do
  >   post http://127.0.0.1:${port[$i]}/start '{"term":1,"job":"j1","attempt":1,"payload":{"run_ms":10}}'; echo
  > done
  {}
  {}
  $ wait_for 10 eval '[ "$(grep -c "\"what\":\"end\"" live)" = 2 ]'
  $ note live told "\"job\":\"j1\",\"state\":\"finished\",\"outputs\":[\"$(digest 'task 0 on w01 done')\",\"$(digest 'task 1 on w02 done')\"]"
  $ stop workers
  $ stop ups
  $ check --require sent,told,run,answer,lease,start,end < live
  events: answer 1 down 2 end 2 lease 2 run 1 sent 2 start 2 told 2 up 2
  checked: at_most_once 1 not_run 0 answers 2 jobs 1 gangs 1 leases 2 leaving 0
  violations: 0
  status 0
