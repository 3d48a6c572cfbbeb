Many callers at once through the fault proxy: each gets the complete answer to its own request. No connection is
reused: when a reused connection closes, libcurl silently sends the request again, which would count as a second run.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ start ups ft-upstreams --count 1 --slots 1000 --connections 100 --run-ms 5 \
  >   --run-spread-percent 100 --seed 7 --history history
  $ up=127.0.0.1:$(get http://127.0.0.1:$ups_port/hosts | json hosts 0 port)
  $ start proxy faultproxy --listen 0 --to $up
  $ proxy=http://127.0.0.1:$(route_port proxy 0)
  $ requests ()  # FIRST LAST
  > {
  >   for i in $(seq "$1" "$2"); do
  >     [ "$i" = "$1" ] || echo next
  >     printf 'url = "%s/work"\nsilent\nmax-time = 20\n' "$proxy"
  >     printf 'header = "Foxtailgap-Request-Id: r%s"\n' "$i"
  >     printf 'header = "Connection: close"\n'
  >     printf 'data = "{\\"size_bytes\\":%s,\\"n\\":%s}"\noutput = "answer.%s"\n' $((i * 100)) "$i" "$i"
  >   done
  > }
  $ tell ()  # notes what the callers FIRST to LAST were told
  > {
  >   python3 - "$1" "$2" <<'END' >> history
  > import hashlib, json, os, sys, time
  > def digest(data):
  >     return hashlib.sha256(data).hexdigest()[:16]
  > now_ms = int(time.time() * 1000)
  > for i in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
  >     body = digest(b'{"size_bytes":%d,"n":%d}' % (i * 100, i))
  >     print(json.dumps({"t_ms": now_ms, "who": "test", "what": "sent", "body": body, "repeatable": False}))
  >     name = "answer.%d" % i
  >     answer = open(name, "rb").read() if os.path.exists(name) else b""
  >     if len(answer) == i * 100:
  >         print(json.dumps({"t_ms": now_ms, "who": "test", "what": "told", "body": body,
  >                           "state": "finished", "answer": digest(answer)}))
  > END
  > }
  $ requests 1 300 > config
  $ curl --parallel --parallel-max 50 -K config 2> errors; echo "status $?"
  status 0
  $ tell 1 300
  $ "$BUILD/bin/history" --require sent,told,run,answer history
  events: answer 300 run 300 sent 300 told 300
  checked: at_most_once 300 not_run 0 answers 300 jobs 0 gangs 0 leases 0 leaving 0
  violations: 0

While connections are reset repeatedly, every complete answer belongs to its request, and no request runs twice:

  $ requests 301 600 > config
  $ curl --parallel --parallel-max 50 -K config 2> errors &
  $ curl=$!
  $ while kill -0 $curl 2> kill_errors; do
  >   post http://127.0.0.1:$proxy_port/control '{"reset":true}' > reset
  > done
  $ tell 301 600
  $ "$BUILD/bin/history" --require sent,told,run,answer history | grep '^violation'
  violations: 0
  $ stop proxy; echo "status $?"
  status 0
  $ cat proxy.err ups.err
