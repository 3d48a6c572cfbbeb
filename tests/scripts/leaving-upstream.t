An upstream that is leaving gets no new requests later than 3 s after the host
list shows that, and sooner if its own answers say so.

  $ . "$ROOT/tests/scripts/lib.sh"; . "$ROOT/tests/scripts/cluster.sh"
  $ cluster addis 3 50 6
  $ callers "e1 e2 e3" --callers 24 --seconds 7 --run-ms 20 --once-percent 20 > counts &
  $ load=$!
  $ ran () { grep -c "\"who\":\"$1\",\"what\":\"run\"" upstreams.history; }
  $ for i in 1 2 3; do wait_for 10 eval "[ \$(ran rounds-planning-0$i) -gt 20 ]"; done

One instance is leaving by the list alone, one by its answers alone, one by both;
the list entry of a fourth is removed while it still serves:

  $ list_entry () { get "$(url hosts)/hosts" | python3 -c '
  > import json, sys
  > for host in json.load(sys.stdin)["hosts"]:
  >     if host["name"] == sys.argv[1]:
  >         host["state"] = "leaving"; print(json.dumps(host))' "$1"; }
  $ post "$(url hosts)/hosts" "$(list_entry rounds-planning-01)" > /dev/null
  $ post "$(url upstreams)/control" '{"instance":"rounds-planning-02","leaving":true,"listed":false}'; echo
  {}
  $ said=$(date +%s%3N)
  $ post "$(url upstreams)/control" '{"instance":"rounds-planning-03","leaving":true}'; echo
  {}
  $ delete "$(url hosts)/hosts/rounds-planning-04" > /dev/null
  $ wait $load; python3 -c '
  > import json
  > print(sorted(json.load(open("counts"))))'
  ['finished']
  $ python3 - "$said" <<'END'
  > import json, sys
  > last = {}
  > for line in open("upstreams.history"):
  >     event = json.loads(line)
  >     if event["what"] == "run":
  >         last[event["who"][-2:]] = event["t_ms"]
  > # Each of the three entry hosts sends until its first answer says so.
  > print(last["02"] - int(sys.argv[1]) < 1000)
  > print(last["05"] - int(sys.argv[1]) > 3500, last["06"] - int(sys.argv[1]) > 3500)
  > END
  True
  True True
  $ check_history --leaving-bound-ms 3000 --require run,state
  history: 0
