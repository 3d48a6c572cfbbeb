Invalid input at each port gets a specific error, and the daemon keeps serving.

  $ . "$ROOT/tests/scripts/lib.sh"; . "$ROOT/tests/scripts/cluster.sh"
  $ cluster addis 2
  $ requests=$(url e1)/v1/services/$service/requests

Throughout the test, 20 callers never finish their header, and 20 never finish
their body:

  $ python3 - "$e1_port" <<'END' & stuck=$!
  > import socket, sys, time
  > kept = []
  > for start in (b"POST /v1/jobs HT", b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{"):
  >     for _ in range(20):
  >         caller = socket.create_connection(("127.0.0.1", int(sys.argv[1])))
  >         caller.sendall(start)
  >         kept.append(caller)
  > open("stuck", "w").close()
  > time.sleep(60)
  > END
  $ wait_for 10 test -e stuck

Requests:

  $ answer () { sed -e 's/.*"error":"\([a-z_]*\)".*/\1/'; }
  $ request e1 nobody '{}' | answer
  unknown_team
  $ curl -s -H 'Foxtailgap-Team: clinics' -d x "$(url e1)/v1/services/nothing/requests" | answer
  unknown_service
  $ curl -s -d x "$requests" | answer
  bad_request
  $ request e1 clinics x 'Foxtailgap-Repeatable: maybe' | answer
  bad_request
  $ request e1 clinics x 'Foxtailgap-Repeatable: no' | answer
  bad_request
  $ for deadline in 0 -1 1e3 9223372036854775808 120001 99999999999999999999; do request e1 clinics x "Foxtailgap-Deadline-Ms: $deadline" | answer; done | sort | uniq -c | tr -s ' '
   6 bad_request
  $ request e1 clinics x "Idempotency-Key: $(head -c 5000 /dev/zero | tr '\0' k)" | answer
  bad_request
  $ head -c 1048577 /dev/zero > large; curl -s -H 'Foxtailgap-Team: clinics' --data-binary @large "$requests" | answer
  body_too_large
  $ head -c 30000000 /dev/zero > larger; curl -s -o /dev/null -w '%{http_code}\n' -H 'Foxtailgap-Team: clinics' --data-binary @larger "$requests"
  413
  $ once e1 same one | tail -n 1; once e2 same two | error_and_state
  finished
  key_conflict
  refused

Jobs:

  $ job () { post "$(url e1)/v1/jobs" "$1" | answer; }
  $ for shape in '"tasks":0' '"tasks":-1' '"tasks":257' '"tasks":9223372036854775808' '"tasks":1.5' '"tasks":"2"' \
  >     '"accelerators":-1' '"accelerators":65' '"cpus_milli":9223372036854775807' '"memory_mb":-9223372036854775808' \
  >     '"declared_run_ms":-1' '"span":"moon"' '"payload":[]' '"colour":"red"' '"repeatable":"yes"'; do
  >   job "{\"team\":\"routes\",$shape}"
  > done | sort | uniq -c | tr -s ' '
   15 bad_request
  $ job '{"team":"routes","accelerators":9}'
  never_fits
  $ job '{"team":"nobody"}'
  unknown_team
  $ for body in '' '{' '[]' 'null' '{"team":"routes","team":"clinics"}' '{"team":"\ud800"}'; do job "$body"; done | sort | uniq -c | tr -s ' '
   6 bad_request
  $ python3 -c 'print("[" * 100000)' > deep; curl -s --data-binary @deep "$(url e1)/v1/jobs" | answer
  bad_request
  $ get "$(url e1)/v1/jobs/none" | answer; delete "$(url e1)/v1/jobs/none" | answer
  unknown_job
  unknown_job

Configuration:

  $ configure () { curl -s -H "Foxtailgap-Digest: $(printf %s "$2" | sha256sum | cut -d' ' -f1)" --data-binary "$2" "$(url e1)/v1/config?base=$1" | answer; }
  $ configure 1 'environment: ['; configure 1 'a: &a [*a, *a]'; configure -1 x; configure 18446744073709551616 x
  invalid_document
  invalid_document
  bad_request
  bad_request
  $ curl -s -H 'Foxtailgap-Digest: 00' -d x "$(url e1)/v1/config?base=1" | answer
  digest_mismatch

Paths and methods:

  $ get "$(url e1)/v2" | answer; delete "$(url e1)/v1/status" | answer
  unknown_path
  bad_method

Random bytes at the callers' port and at the peers' port:

  $ peers=$(sed -n 's/^peers //p' e1.out)
  $ python3 - "$e1_port" "$peers" <<'END'
  > import random, socket, struct, sys
  > random.seed(5)
  > def send(port, data):
  >     caller = socket.create_connection(("127.0.0.1", port))
  >     try:
  >         caller.sendall(data)
  >         caller.shutdown(socket.SHUT_WR)
  >         caller.settimeout(0.1)
  >         while caller.recv(65536):
  >             pass
  >     except OSError:
  >         pass
  >     caller.close()
  > for _ in range(100):
  >     data = random.randbytes(random.randrange(1, 3000))
  >     send(int(sys.argv[1]), data)
  >     send(int(sys.argv[2]), data)
  >     send(int(sys.argv[2]), struct.pack(">I", len(data)) + data)
  > for size in (0, 1, 0x7fffffff, 0xffffffff):
  >     send(int(sys.argv[2]), struct.pack(">I", size) + b"x" * 100)
  > END

The same process still serves, and still has its peer as a member:

  $ request e1 clinics '{"n":"after"}' | cut -d' ' -f1
  answer
  $ submit e1 '{"team":"routes","tasks":2,"accelerators":8}' 10000 | json state
  finished
  $ members_seen e1 2 && members_seen e2 2 && kill -0 "$e1_pid" && echo the same
  the same
  $ kill $stuck
  $ stop e1; echo "status $?"
  status 0
