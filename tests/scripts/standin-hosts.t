The stand-in of the platform's list of hosts.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ start hosts ft-hosts --history history
  $ hosts=http://127.0.0.1:$hosts_port
  $ host ()
  > {
  >   echo "{\"name\":\"$1\",\"kind\":\"upstream\",\"address\":\"127.0.0.1\",\"port\":1,\"state\":\"$2\",\"service\":\"rounds\"}"
  > }
  $ get $hosts/hosts; echo
  {"version":0,"hosts":[]}
  $ post $hosts/hosts "$(host u2 live)"; echo
  {}
  $ post $hosts/hosts "$(host u1 live)"; echo
  {}
  $ get $hosts/hosts | json hosts 0 name
  u1
  $ post $hosts/hosts "$(host u1 leaving)"; echo
  {}
  $ get $hosts/hosts | json hosts 0 state
  leaving
  $ delete $hosts/hosts/u2; echo
  {}
  $ get $hosts/hosts | json hosts length
  1
  $ get $hosts/hosts | json version
  4

The version of the list is its entity tag: an unchanged list is not sent again.

  $ curl -s -o /dev/null -w '%{http_code} %{size_download}\n' -H 'If-None-Match: "4"' $hosts/hosts
  304 0
  $ curl -s -o /dev/null -w '%{http_code}\n' -H 'If-None-Match: "3"' $hosts/hosts
  200

An invalid host is refused:

  $ post $hosts/hosts '{"name":"u1"}' | json error
  bad_host
  $ post $hosts/hosts 'no JSON' | json error
  bad_request
  $ status PUT $hosts/hosts '{}'
  404

Changes become visible after a lag, and visible ones are not taken back:

  $ post $hosts/control '{"lag_ms":600000}'; echo
  {}
  $ post $hosts/hosts "$(host u3 live)"; echo
  {}
  $ get $hosts/hosts | json hosts length
  1
  $ post $hosts/control '{"lag_ms":100}'; echo
  {}
  $ wait_for 10 has '"u3"' get $hosts/hosts
  $ stop hosts; echo "status $?"
  status 0

The history records when a change becomes visible:

  $ python3 -c '
  > import json
  > for line in open("history"):
  >     event = json.loads(line)
  >     print(event["who"], event["what"], event["name"], event["state"])'
  hosts state u2 live
  hosts state u1 live
  hosts state u1 leaving
  hosts state u2 removed
  hosts state u3 live
