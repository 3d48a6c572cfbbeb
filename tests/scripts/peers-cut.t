Connections between entry hosts: one that never carries data again is replaced,
and both ends agree that they are disconnected if one direction is cut.

  $ . "$ROOT/tests/scripts/lib.sh"; . "$ROOT/tests/scripts/cluster.sh"
  $ cluster addis 3
  $ start proxy faultproxy --listen 0 --to 127.0.0.1:$(sed -n 's/^peers //p' e2.out)
  $ get "$(url hosts)/hosts" | python3 -c '
  > import json, sys
  > for host in json.load(sys.stdin)["hosts"]:
  >     if host["name"] == "e2":
  >         host["peer_port"] = int(sys.argv[1]); print(json.dumps(host))' "$(route_port proxy 0)" > e2.json
  $ post "$(url hosts)/hosts" "$(cat e2.json)" > /dev/null
  $ tell () { post "$(url proxy)/control" "$1" > /dev/null; }
  $ connections () { get "$(url proxy)/control" | json routes 0 connections; }
  $ wait_for 10 is_value 2 connections
  $ all_see () { members_seen e1 "$1" && members_seen e3 "$1" && members_seen e2 "$2"; }
  $ wait_for 10 all_see 3 3

Silent: data that e1 and e3 send to e2 on the open connections no longer
arrives; new connections work.

  $ accepted () { get "$(url proxy)/control" | json routes 0 accepted; }
  $ before=$(accepted)
  $ tell '{"silent":true}'
  $ wait_for 10 eval '[ "$(accepted)" -ge $((before + 2)) ]'
  $ wait_for 10 all_see 3 3

Only data to e2 is frozen: e2 receives nothing, and the other hosts, which do
receive its heartbeats, do not count it as a member either.

  $ tell '{"freeze":"to"}'
  $ wait_for 10 all_see 2 1

Meanwhile requests, key claims and changes of the configuration work:

  $ callers "e1 e2 e3" --callers 12 --seconds 2 --once-percent 50 > counts; python3 -c '
  > import json
  > counts = json.load(open("counts"))
  > print(sorted(counts), counts["finished"] > 100)'
  ['finished'] True
  $ charge='{"n":"charge","run_ms":300}'
  $ sent_once "$charge"
  $ once e1 charge "$charge" > e1.answer & first=$!
  $ once e2 charge "$charge" > e2.answer; wait $first; diff e1.answer e2.answer
  $ (cat "$ROOT/examples/environments/addis.yaml"; echo '# changed') > changed.yaml
  $ apply e2 changed.yaml 1 | json revision
  2
  $ in_force 2 e1 e2 e3
  $ tell '{"freeze":"none"}'
  $ wait_for 10 all_see 3 3

The route is cut and restored:

  $ tell '{"cut":true}'
  $ wait_for 10 all_see 2 1
  $ request e2 clinics '{"n":"cut off"}' | cut -d' ' -f1
  answer
  $ tell '{"cut":false}'
  $ wait_for 10 all_see 3 3
  $ check_history --require run,answer,told
  history: 0
