The fault proxy, between a caller and the stand-in of the log.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ start log ft-log --appends-per-second 0
  $ start other ft-log
  $ start proxy faultproxy --listen 0 --to 127.0.0.1:$log_port \
  >   --listen 0 --to 127.0.0.1:$other_port
  $ control=http://127.0.0.1:$proxy_port/control
  $ log=http://127.0.0.1:$(route_port proxy 0)
  $ other=http://127.0.0.1:$(route_port proxy 1)
  $ tell ()
  > {
  >   post $control "$1"
  >   echo
  > }
  $ connections ()
  > {
  >   get $control | json routes 0 connections
  > }

Each route has its own server:

  $ post $log/streams/a one | json offset
  0
  $ get "$other/streams/a?from=0" | json next
  0

Large bodies pass unchanged in both directions:

  $ head -c 1000000 /dev/urandom > large
  $ curl -s --data-binary @large $log/streams/large | json offset
  0
  $ get "$log/streams/large?from=0" | json records 0 data | base64 -d | cmp - large

Cut: connections close, and new ones are refused; the other route still works:

  $ wait_for 10 eval '[ "$(connections)" = 0 ]'
  $ get "$log/streams/a?from=1&wait_ms=20000" > poll 2> poll_error &
  $ poll=$!
  $ wait_for 10 eval '[ "$(connections)" = 1 ]'
  $ tell '{"route":0,"cut":true}'
  {}
  $ wait $poll; [ $? != 0 ] && echo closed
  closed
  $ curl -s $log/streams/a; echo "status $?"
  status 7
  $ status GET "$other/streams/a?from=0"
  200
  $ tell '{"cut":false}'
  {}
  $ status GET "$log/streams/a?from=0"
  200

A lost answer: the request has reached the server:

  $ tell '{"route":0,"drop_answer":1}'
  {}
  $ status POST $log/streams/a lost
  000
  $ get "$log/streams/a?from=1" | json records 0 data | base64 -d; echo
  lost

Frozen in the direction from the server, a request takes effect and its answer is delayed; frozen in the direction to
the server, it takes effect only afterwards. After the freeze all bytes are delivered:

  $ tell '{"route":0,"freeze":"from"}'
  {}
  $ post $log/streams/a two > answer &
  $ answer=$!
  $ wait_for 10 has '"next":3' get "http://127.0.0.1:$log_port/streams/a?from=2"
  $ cat answer
  $ tell '{"route":0,"freeze":"none"}'
  {}
  $ wait $answer; json offset < answer
  2
  $ tell '{"route":0,"freeze":"to"}'
  {}
  $ status_limit_s=0.3 status POST $log/streams/a three
  000
  $ get "http://127.0.0.1:$log_port/streams/a?from=3" | json next
  3
  $ tell '{"route":0,"freeze":"none"}'
  {}
  $ wait_for 10 has '"next":4' get "http://127.0.0.1:$log_port/streams/a?from=3"
  $ tell '{"freeze":"sideways"}' | json error
  bad_request
  $ tell '{"route":2,"cut":true}' | json error
  bad_request

Delay, in each direction:

  $ tell '{"route":0,"delay_ms":200}'
  {}
  $ curl -s -o /dev/null -w '%{time_total}\n' "$log/streams/a?from=0" \
  >   | python3 -c 'print(0.4 <= float(input()) < 5)'
  True
  $ tell '{"route":0,"delay_ms":0}'
  {}

Silent: the open connection never carries data again; new ones work:

  $ wait_for 10 eval '[ "$(connections)" = 0 ]'
  $ get "$log/streams/a?from=4&wait_ms=20000" > poll 2> poll_error &
  $ poll=$!
  $ wait_for 10 eval '[ "$(connections)" = 1 ]'
  $ tell '{"route":0,"silent":true}'
  {}
  $ post $log/streams/a five | json offset
  4
  $ kill $poll
  $ wait $poll
  [143]
  $ cat poll
  $ status GET "$log/streams/a?from=0"
  200
  $ wait_for 10 eval '[ "$(connections)" = 1 ]'

Reset: open connections are closed; new ones work:

  $ get "$log/streams/a?from=5&wait_ms=20000" > poll 2> poll_error &
  $ poll=$!
  $ wait_for 10 eval '[ "$(connections)" = 2 ]'
  $ tell '{"route":0,"reset":true}'
  {}
  $ wait $poll; [ $? != 0 ] && echo closed
  closed
  $ status GET "$log/streams/a?from=0"
  200

A server that has stopped:

  $ stop log
  $ status GET "$log/streams/a?from=0"
  000
  $ stop proxy; echo "status $?"
  status 0
  $ cat proxy.err
  $ $BUILD/bin/faultproxy --listen 0 --to nowhere
  faultproxy: route 0: an address is not valid
  [1]
