Requests that are not repeatable run at most once, whichever host is killed and
whichever answer of the log is lost.

  $ . "$ROOT/tests/scripts/lib.sh"; . "$ROOT/tests/scripts/cluster.sh"
  $ cluster addis 4

The same key through three entry hosts at once: the request runs once, and all
three get the same answer.

  $ charge='{"n":"charge","run_ms":300}'
  $ sent_once "$charge"
  $ waits=()
  $ for host in e1 e2 e3; do once $host charge "$charge" > $host.answer & waits+=($!); done
  $ wait "${waits[@]}"
  $ runs "$charge"
  1
  $ sort -u e?.answer | sed -e 's/answer [0-9a-f]* rounds-planning-[0-9]*/ANSWER/'
  ANSWER {"n":"charge","run_ms":300}
  finished

The same key later gets the stored answer; with another body it is refused:

  $ once e4 charge "$charge" | diff - e1.answer
  $ once e4 charge '{"n":"other"}' | error_and_state
  key_conflict
  refused
  $ runs '{"n":"other"}'
  0
  [1]

The log appends the key claim, but its answer is lost: the host finds the claim
by reading the log, and the request runs once.

  $ for i in 1 2 3; do
  >   lost="{\"n\":\"lost $i\"}"
  >   sent_once "$lost"
  >   post "$(url log)/control" '{"drop_answers":1}' > /dev/null
  >   once e$i lost$i "$lost" | tail -n 1
  >   runs "$lost"
  > done
  finished
  1
  finished
  1
  finished
  1

The log is unreachable while the key is claimed: the request is refused, and
does not run later either.

  $ post "$(url log)/control" '{"outage":true}'; echo
  {}
  $ sent_once '{"n":"dark"}'
  $ once e1 dark '{"n":"dark"}' 1500 | error_and_state
  log_unavailable
  refused
  $ post "$(url log)/control" '{"outage":false}'; echo
  {}
  $ for host in e1 e2 e3 e4; do wait_for 10 is_value true status_field $host log_up; done
  $ runs '{"n":"dark"}'
  0
  [1]

The host that holds a key claim is killed after it sent the request upstream:
the request is not sent again, and a caller that retries at another host soon
gets the state unknown.

  $ slow='{"n":"slow","run_ms":2500}'
  $ sent_once "$slow"
  $ once e1 slow "$slow" > e1.answer 2> e1.error &
  $ asked=$!
  $ wait_for 5 eval '[ "$(runs "$slow")" = 1 ]'
  $ wait_for 5 has_claim e2 slow in_progress
  $ stop e1 KILL; wait $asked
  [52]
  $ once e2 slow "$slow" 10000 > e2.answer; error_and_state < e2.answer
  outcome_unknown
  unknown
  $ wait_for 5 has_claim e3 slow unknown
  $ once e3 slow "$slow" | tail -n 1
  unknown
  $ runs "$slow"
  1

The host is killed at a random moment around the claim and the sending (seeds 1
to 6): the caller retries at the other hosts with the same key.

  $ for seed in 1 2 3 4 5 6; do
  >   body="{\"n\":\"any $seed\",\"run_ms\":100}"
  >   sent_once "$body"
  >   entry e1
  >   wait_for 10 has_status 200 GET "$(url e1)/readyz"
  >   once e1 any$seed "$body" > e1.answer 2> e1.error &
  >   asked=$!
  >   python3 -c "import random, time; random.seed($seed); time.sleep(random.random() * 0.03)"
  >   stop e1 KILL; wait $asked
  >   once e2 any$seed "$body" 8000 > e2.answer & second=$!
  >   once e3 any$seed "$body" 8000 > e3.answer; wait $second
  >   for answer in e2.answer e3.answer; do
  >     tail -n 1 $answer
  >   done | grep -vxE 'finished|unknown'
  >   [ "$(runs "$body")" -le 1 ] || echo "seed $seed ran more than once"
  > done

  $ check_history --require run,append
  history: 0
