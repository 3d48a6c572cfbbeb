SIGTERM under load cuts off no request; hosts are replaced one after another.

  $ . "$ROOT/tests/scripts/lib.sh"; . "$ROOT/tests/scripts/cluster.sh"
  $ cluster addis 3

A host ends while requests are in progress: these get complete answers.  A
keep-alive connection, or one that was not accepted yet, may close without an
answer; its request did not run.

  $ callers "e1" --callers 8 --requests 1 --run-ms 1500 --deadline-ms 8000 --once-percent 50 > counts &
  $ load=$!
  $ wait_for 5 eval '[ "$(grep -c "\"run\"" upstreams.history)" = 8 ]'
  $ stop e1; echo "status $?"
  status 0
  $ wait $load; cat counts
  {"finished": 8}

The outcomes of requests with a key claim are in the log before the host ends:

  $ for i in 0 1 2 3 4 5 6 7; do get "$(url e2)/v1/requests/clinics/r-$i-0" | grep -v unknown_key | sed -e 's/answer [0-9a-f]* [a-z0-9-]* /ANSWER /' -e 's/r-[0-9]-0/N/'; done | grep -o "ANSWER.*N" | sort -u
  ANSWER {"n": "N

The same if the caller has disconnected in the meantime:

  $ curl -s --max-time 0.5 -H 'Foxtailgap-Team: clinics' -H 'Foxtailgap-Repeatable: no' -H 'Idempotency-Key: left' --data '{"n":"left","run_ms":1500}' "$(url e2)/v1/services/$service/requests"
  [28]
  $ stop e2; echo "status $?"
  status 0
  $ wait_for 5 eval 'get "$(url e3)/v1/requests/clinics/left" | has answer cat'

All hosts are replaced under load, one after another:

  $ entry e1; entry e2; wait_for 10 has_status 200 GET "$(url e1)/readyz"; wait_for 10 has_status 200 GET "$(url e2)/readyz"
  $ first_ports=$(ports e1 e2 e3)
  $ for i in 4 5 6; do entry e$i; wait_for 10 has_status 200 GET "$(url e$i)/readyz"; done
  $ callers "e1 e4 e2 e5 e3 e6" --callers 12 --seconds 6 --run-ms 30 --once-percent 20 --tag roll > counts &
  $ load=$!
  $ for i in 1 2 3; do
  >   answered=$(grep -c told callers.history)
  >   wait_for 10 eval '[ "$(grep -c told callers.history)" -gt $((answered + 100)) ]'
  >   stop e$i || echo "status $?"
  > done
  $ wait $load; python3 -c '
  > import json
  > counts = json.load(open("counts"))
  > print(sorted(set(counts) - {"unreached", "broken"}))'
  ['finished']
  $ check_history --require run,answer,told
  history: 0
