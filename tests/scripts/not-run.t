A request that is answered with the state refused did not run.  Every answer
belongs to its own request.

  $ . "$ROOT/tests/scripts/lib.sh"; . "$ROOT/tests/scripts/cluster.sh"
  $ cluster addis 3 50 4
  $ control=$(url upstreams)/control

Overload: four instances of 8 slots, 120 callers, and deadlines that many miss.
The slots can run 2,133 requests in this time.  The bound guards against a fault
that cut attempts off too soon: then only 43 requests were answered.

  $ callers "e1 e2 e3" --callers 120 --seconds 4 --run-ms 60 --deadline-ms 150 --once-percent 10 --teams clinics,routes,accounts,rounds --tag flood > counts
  $ python3 -c '
  > import json
  > counts = json.load(open("counts"))
  > print(counts["finished"] > 500, counts.get("refused", 0) > 100)
  > print(sorted(set(counts) - {"finished", "refused", "unknown"}))'
  True True
  []
  $ [ "$(grep -o '"slots_used":[0-9]*' upstreams.history | sort -t: -k2n | tail -n 1 | cut -d: -f2)" -le 8 ] && echo within the slots
  within the slots

An upstream under load that is leaving, frozen, failing, or gone:

  $ callers "e1 e2 e3" --callers 24 --seconds 6 --run-ms 20 --deadline-ms 1000 --once-percent 30 --tag faults > counts &
  $ load=$!
  $ answered () { grep -c '"told"' callers.history; }
  $ further () { local now; now=$(answered); wait_for 10 eval "[ \$(answered) -gt $((now + 150)) ]"; }
  $ for fault in '"leaving":true' '"frozen":true' '"fail_all":true' '"gone":true'; do
  >   post $control "{\"instance\":\"rounds-planning-01\",$fault}" > /dev/null
  >   further
  >   post $control "{\"instance\":\"rounds-planning-01\",${fault%:*}:false}" > /dev/null
  > done
  $ wait $load; python3 -c '
  > import json
  > counts = json.load(open("counts"))
  > print(sorted(set(counts) - {"finished", "refused", "unknown"}))'
  []

All instances are gone: requests are refused at once, with Retry-After.

  $ post $control '{"instance":"*","gone":true}'; echo
  {}
  $ curl -s -D headers -o answer -H 'Foxtailgap-Team: clinics' --data '{"n":"none"}' "$(url e1)/v1/services/$service/requests"
  $ json state < answer; grep -ci '^retry-after: [1-9]' headers
  refused
  1
  $ runs '{"n":"none"}'
  0
  [1]

  $ check_history --require run,answer,told,state
  history: 0
  $ sed -n 's/^checked: //p' checked | python3 -c '
  > words = input().split()
  > judged = dict(zip(words[::2], map(int, words[1::2])))
  > print(*(name for name in ("at_most_once", "not_run", "answers") if judged[name] > 100))'
  at_most_once not_run answers
