The stand-in of the platform's log.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ start log ft-log --appends-per-second 0 --history history
  $ log=http://127.0.0.1:$log_port

Offsets count from 0 in each stream; an empty stream has no records:

  $ get "$log/streams/a?from=0"; echo
  {"first":0,"next":0,"records":[]}
  $ post $log/streams/a one | json offset
  0
  $ post $log/streams/a two | json offset
  1
  $ post $log/streams/b three | json offset
  0
  $ get "$log/streams/a?from=1&limit=5" | json records 0 data | base64 -d; echo
  two
  $ get "$log/streams/a?from=0&limit=1" | json records length
  1

A long poll is answered at the next append, or without records at its timeout:

  $ get "$log/streams/a?from=2&wait_ms=100" | json records
  []
  $ get "$log/streams/a?from=2&wait_ms=20000" > poll &
  $ poll=$!
  $ post $log/streams/a four | json offset
  2
  $ wait $poll; json records 0 offset < poll
  2

A body over 1 MiB is refused; the control page shows the counters:

  $ head -c 1048577 /dev/zero > large
  $ curl -s --data-binary @large $log/streams/a | json error
  body_too_large
  $ get $log/control | json appends
  4

Records expire by their count:

  $ post $log/control '{"retention_records":2}'; echo
  {}
  $ get "$log/streams/a?from=0"; echo
  {"first":1,"next":3,"error":"expired","message":"The records at this offset have expired."}
  $ status GET "$log/streams/a?from=0"
  410
  $ get "$log/streams/a?from=1" | json records length
  2

... and by their age; offsets continue:

  $ post $log/control '{"retention_ms":100}'; echo
  {}
  $ wait_for 10 has '"first":3,"next":3' get "$log/streams/a?from=3"
  $ post $log/control '{"retention_ms":0}'; echo
  {}
  $ post $log/streams/a five | json offset
  3

A lost answer: the append has taken effect:

  $ post $log/control '{"drop_answers":1}'; echo
  {}
  $ status POST $log/streams/a lost
  000
  $ get "$log/streams/a?from=4" | json records 0 data | base64 -d; echo
  lost
  $ grep -c '"answered":false' history
  1
  $ post $log/streams/a six | json offset
  5

The append has also taken effect when the answer is replaced by an error:

  $ post $log/control '{"error_answers":1}'; echo
  {}
  $ post $log/streams/c one | json error
  internal
  $ post $log/control '{"drop_percent":100}'; echo
  {}
  $ status POST $log/streams/c two
  000
  $ post $log/control '{"drop_percent":0}'; echo
  {}
  $ post $log/streams/c three | json offset
  2

An outage that answers with errors; a read that waits is closed:

  $ reads=$(get $log/control | json reads)
  $ get "$log/streams/a?from=6&wait_ms=20000" > poll 2> poll_error &
  $ poll=$!
  $ wait_for 10 has "\"reads\":$((reads + 1))" get $log/control
  $ post $log/control '{"outage":true}'; echo
  {}
  $ wait $poll; [ $? != 0 ] && echo closed
  closed
  $ post $log/streams/a seven | json error
  outage
  $ status GET "$log/streams/a?from=0"
  503

A silent outage: no call is answered, and none takes effect:

  $ post $log/control '{"outage":true,"mode":"silent"}'; echo
  {}
  $ status_limit_s=0.3
  $ status POST $log/streams/a seven
  000
  $ status GET "$log/streams/a?from=0"
  000
  $ post $log/control '{"outage":false,"mode":"error"}'; echo
  {}
  $ post $log/streams/a eight | json offset
  6

A slow log appends at once and answers late:

  $ post $log/control '{"slow_ms":20000}'; echo
  {}
  $ status POST $log/streams/a nine
  000
  $ post $log/control '{"slow_ms":0}'; echo
  {}
  $ get "$log/streams/a?from=7" | json records 0 data | base64 -d; echo
  nine

Delayed answers that are still pending do not prevent the end of the process:

  $ reads=$(get $log/control | json reads)
  $ get "$log/streams/a?from=8&wait_ms=20000" > poll 2> poll_error &
  $ wait_for 10 has "\"reads\":$((reads + 1))" get $log/control
  $ stop log; echo "status $?"
  status 0
  $ cat log.err

The rate of appends is limited by a token bucket:

  $ start log ft-log --appends-per-second 20
  $ log=http://127.0.0.1:$log_port
  $ curl -s -o /dev/null -w '%{http_code}\n' -d x "$log/streams/a?i=[1-30]" > codes
  $ [ "$(grep -c 201 codes)" -ge 2 ] && [ "$(grep -c 201 codes)" -le 25 ] && echo limited
  limited
  $ sort -u codes
  201
  429
  $ get $log/control | json refused | diff - <(grep -c 429 codes)
  $ wait_for 10 has_status 201 POST $log/streams/b x
  $ while [ "$(curl -s -o answer -D headers -w '%{http_code}' -d x $log/streams/a)" = 201 ]; do :; done
  $ grep -i '^retry-after' headers | tr -d '\r'
  Retry-After: 1
  $ json error < answer
  rate_limited
  $ stop log; echo "status $?"
  status 0
