The planner's host is paused and resumes after another host has taken over: the
workers fence off the old term, and every gang runs whole.

  $ . "$ROOT/tests/scripts/lib.sh"; . "$ROOT/tests/scripts/cluster.sh"
  $ cluster addis 3
  $ gang () { echo "{\"team\":\"routes\",\"tasks\":4,\"accelerators\":8,\"cpus_milli\":1000,\"memory_mb\":100,\"repeatable\":true,\"payload\":{\"run_ms\":${1:-800}}}"; }
  $ job_state () { get "$(url "$1")/v1/jobs/$2" | json state; }
  $ other_planner () { local now; now=$(status_field "$1" planner); [ -n "$now" ] && [ "$now" != "$2" ]; }
  $ sent_job () { echo "{\"t_ms\":$(date +%s%3N),\"who\":\"test\",\"what\":\"sent\",\"job\":\"$1\",\"tasks\":4,\"repeatable\":true}" >> callers.history; }

Three times (seeds 1 to 3), at a random moment after a gang was submitted: the
planner is paused, another host takes over in less than 5 s, the old planner
resumes.

  $ for seed in 1 2 3; do
  >   planner=$(status_field e1 planner)
  >   asked=e1; [ "$planner" != e1 ] || asked=e2
  >   old_term=$(status_field $asked term)
  >   first=$(submit $asked "$(gang)" | json job); sent_job $first
  >   python3 -c "import random, time; random.seed($seed); time.sleep(random.random() * 0.04)"
  >   pause $planner; paused=$(date +%s%3N)
  >   wait_for 10 other_planner $asked $planner
  >   took=$(($(date +%s%3N) - paused)); echo "$took" >> takeover_ms
  >   [ $took -lt 5000 ] || echo "takeover took $took ms"
  >   second=$(submit $asked "$(gang 3000)" | json job); sent_job $second
  >   wait_for 10 eval '[ "$(job_state $asked $second)" = running ]'
  >   resume $planner
  >   for job in $first $second; do
  >     wait_for 20 eval '[ "$(job_state $asked $job)" = finished ]'
  >     echo "{\"t_ms\":$(date +%s%3N),\"who\":\"test\",\"what\":\"told\",\"job\":\"$job\",\"state\":\"finished\"}" >> callers.history
  >   done
  >   wait_for 10 eval '[ "$(status_field $planner term)" -gt "$old_term" ]'
  >   wait_for 10 members_seen $asked 3; wait_for 10 members_seen $planner 3
  > done

No worker granted a lease under an older term after one under a newer term:

  $ python3 -c '
  > import json
  > newest = {}
  > leases = 0
  > for line in open("workers.history"):
  >     event = json.loads(line)
  >     if event["what"] != "lease":
  >         continue
  >     leases += 1
  >     if event["term"] < newest.get(event["who"], 0):
  >         print("older term", event)
  >     newest[event["who"]] = max(newest.get(event["who"], 0), event["term"])
  > print(leases >= 24, max(newest.values()) >= 4)'
  True True

Each pause changes the term once, or twice if two hosts compete for it:

  $ [ "$(status_field e1 term)" -le 8 ] && echo few
  few
  $ check_history --gang-bound-ms 6500 --require start,lease,told
  history: 0
