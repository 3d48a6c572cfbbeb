The platform's log is unreachable while jobs run and requests arrive.

  $ . "$ROOT/tests/scripts/lib.sh"; . "$ROOT/tests/scripts/cluster.sh"
  $ cluster addis 3
  $ gang () { echo "{\"team\":\"routes\",\"key\":\"$1\",\"tasks\":3,\"accelerators\":8,\"cpus_milli\":1000,\"memory_mb\":100,\"payload\":{\"run_ms\":$2}}"; }
  $ job_state () { get "$(url "$1")/v1/jobs/$2" | json state; }
  $ is_down () { is_value false status_field "$1" log_up; }
  $ refusal () { sed -n 's/.*"state":"\([a-z]*\)".*/\1/p' answer; grep -ci '^retry-after: [1-9]' headers; }

An outage with errors, and one without any answers, each longer than the leases
(3 s), while a job that is not repeatable runs:

  $ for mode in error silent; do
  >   job=$(submit e1 "$(gang "$mode" 6000)" | json job)
  >   echo "{\"t_ms\":$(date +%s%3N),\"who\":\"test\",\"what\":\"sent\",\"job\":\"$job\",\"tasks\":3,\"repeatable\":false}" >> callers.history
  >   wait_for 10 eval '[ "$(job_state e2 $job)" = running ]'
  >   post "$(url log)/control" "{\"outage\":true,\"mode\":\"$mode\"}" > /dev/null
  >   for host in e1 e2 e3; do wait_for 10 is_down $host; done
  >   callers "e1 e2 e3" --callers 6 --seconds 4 --run-ms 10 --once-percent 20 --deadline-ms 3000 --tag $mode --seed 7 > counts
  >   python3 -c '
  > import json
  > counts = json.load(open("counts"))
  > slowest = json.load(open("callers.history.slowest"))
  > print(sorted(counts), counts["finished"] > 100, counts["refused"] > 20,
  >       "refused at once" if slowest["refused"] < 500 else slowest)'
  >   curl -s -D headers -o answer --data "$(gang new$mode 10)" "$(url e1)/v1/jobs"; refusal
  >   curl -s -D headers -o answer -H "Foxtailgap-Digest: $(sha256sum < "$ROOT/examples/environments/addis.yaml" | cut -d' ' -f1)" --data-binary "@$ROOT/examples/environments/addis.yaml" "$(url e2)/v1/config?base=1&author=a"; refusal
  >   for host in e1 e2 e3; do status_field $host revision; done
  >   post "$(url log)/control" '{"outage":false,"mode":"error"}' > /dev/null
  >   for host in e1 e2 e3; do wait_for 10 is_value true status_field $host log_up; done
  >   wait_for 15 eval '[ "$(job_state e2 $job)" = finished ]'
  >   echo "{\"t_ms\":$(date +%s%3N),\"who\":\"test\",\"what\":\"told\",\"job\":\"$job\",\"state\":\"finished\"}" >> callers.history
  >   get "$(url e3)/v1/jobs/$job" | json attempt
  > done
  ['finished', 'refused'] True True refused at once
  refused
  1
  refused
  1
  1
  1
  1
  1
  ['finished', 'refused'] True True refused at once
  refused
  1
  refused
  1
  1
  1
  1
  1

The refused jobs and changes have not taken effect when the log is back:

  $ get "$(url e1)/v1/jobs" | python3 -c '
  > import json, sys
  > print(len(json.load(sys.stdin)["jobs"]))'
  2
  $ for host in e1 e2 e3; do status_field $host revision; done | sort -u
  1

  $ check_history --require run,start,told
  history: 0
