The stand-in of upstream instances.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ start hosts ft-hosts --history history
  $ hosts=http://127.0.0.1:$hosts_port
  $ start ups ft-upstreams --service rounds --count 3 --slots 2 --run-ms 5 \
  >   --data-centres bole,merkato --hosts-url $hosts --history history
  $ control=http://127.0.0.1:$ups_port/control
  $ get $hosts/hosts | python3 -c '
  > import json, sys
  > for host in json.load(sys.stdin)["hosts"]:
  >     print(host["name"], host["kind"], host["state"], host["data_centre"],
  >           host["service"], host["slots"], host["connections"])'
  rounds-01 upstream live bole rounds 2 64
  rounds-02 upstream live merkato rounds 2 64
  rounds-03 upstream live bole rounds 2 64
  $ one=http://127.0.0.1:$(host_port $hosts rounds-01)
  $ work ()
  > {
  >   curl -s -H "Foxtailgap-Request-Id: $1" -H 'Foxtailgap-Team: clinic' -d "$2" $one/work
  >   echo
  > }

Every answer names its request and the instance:

  $ work r1 hello
  answer r1 rounds-01 hello
  $ work r2 '{"size_bytes":50}'
  answer r2 rounds-01 {"size_bytes":50}.............
  $ work r3 '{"fail":true}'
  failed r3

When all slots are in use, work is refused and does not run:

  $ work r4 '{"run_ms":60000}' > held4 &
  $ held4=$!
  $ work r5 '{"run_ms":60000}' > held5 &
  $ held5=$!
  $ wait_for 10 has '"slots_used":2' get $one/state
  $ work r6 hello | json error
  busy
  $ grep -c '"what":"run","request":"r6"' history
  0
  [1]

An instance that is gone closes the connections of its work without an answer; when it is back, all slots are free:

  $ post $control '{"instance":"rounds-01","gone":true}'; echo
  {}
  $ wait $held4 $held5
  $ cat held4 held5
  
  
  $ status GET $one/state
  000
  $ post $control '{"instance":"rounds-01","gone":false}'; echo
  {}
  $ work r7 hello
  answer r7 rounds-01 hello

An instance can also be controlled through its own port:

  $ post $one/control '{"instance":"rounds-01","gone":true}'; echo
  {}
  $ wait_for 10 has_status 000 GET $one/state
  $ post $control '{"instance":"rounds-01","gone":false}'; echo
  {}

A leaving instance is shown as such in its answers and in the host list:

  $ post $control '{"instance":"rounds-01","leaving":true}'; echo
  {}
  $ curl -s -o /dev/null -D - -d x $one/work | grep -i upstream-state | tr -d '\r'
  Foxtailgap-Upstream-State: leaving
  $ wait_for 10 has '"state":"leaving"' get $hosts/hosts
  $ post $control '{"instance":"rounds-02","leaving":true,"listed":false}'; echo
  {}
  $ post $control '{"instance":"rounds-01","leaving":false}'; echo
  {}
  $ wait_for 10 eval '! has leaving get $hosts/hosts'

A frozen instance accepts requests and answers none:

  $ post $control '{"instance":"rounds-01","frozen":true}'; echo
  {}
  $ status_limit_s=0.3 status POST $one/work hello
  000
  $ post $control '{"instance":"rounds-01","frozen":false,"fail_all":true}'; echo
  {}
  $ work r8 hello
  failed r8
  $ post $control '{"instance":"*","fail_all":false,"run_ms":60000}'; echo
  {}
  $ get $one/state; echo
  {"leaving":false,"fail_all":false,"run_ms":60000,"slots_used":0}
  $ post $control '{"instance":"no-such"}' | json error
  not_found

SIGTERM ends it while work is in a slot:

  $ work r9 hello > held9 &
  $ wait_for 10 has '"slots_used":1' get $one/state
  $ stop ups; echo "status $?"
  status 0
  $ cat ups.err

The history records runs and answers, with the same digests that a test makes of the bodies:

  $ python3 -c '
  > import json, hashlib
  > def digest(text):
  >     return hashlib.sha256(text.encode()).hexdigest()[:16]
  > for line in open("history"):
  >     event = json.loads(line)
  >     if event.get("request") != "r1":
  >         continue
  >     print(event["who"], event["what"], event.get("team"),
  >           event["body"] == digest("hello"),
  >           event.get("answer") == digest("answer r1 rounds-01 hello"))'
  rounds-01 run clinic True False
  rounds-01 answer None True True
