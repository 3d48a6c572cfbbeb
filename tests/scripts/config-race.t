Two operators change the configuration at once, and hosts are replaced after
records of the log have expired: no host ever returns to an older revision.

  $ . "$ROOT/tests/scripts/lib.sh"; . "$ROOT/tests/scripts/cluster.sh"
  $ cluster addis 3
  $ document () { sed "s/^environment: .*/environment: addis # $1/" "$ROOT/examples/environments/addis.yaml" > "$1.yaml"; }

A background loop records the revision in force on each host:

  $ watch_revisions ()
  > {
  >   while :; do
  >     for host in e1 e2 e3; do
  >       echo "$host $(get "http://127.0.0.1:$(program_port $host)/v1/status" 2> /dev/null | json revision 2> /dev/null)"
  >     done >> revisions
  >   done
  > }
  $ watch_revisions & watcher=$!

Twelve rounds in which two operators use the same base at two hosts; exactly one
of them wins each round:

  $ base=1
  $ for round in 1 2 3 4 5 6 7 8 9 10 11 12; do
  >   document a$round; document b$round
  >   post_as () { curl -sS --max-time 30 -H "Foxtailgap-Digest: $(sha256sum < "$2" | cut -d' ' -f1)" --data-binary "@$2" "$(url "$1")/v1/config?base=$base&author=$3"; }
  >   post_as e1 a$round.yaml anna > a.answer & first=$!
  >   post_as e2 b$round.yaml berhanu > b.answer; wait $first
  >   python3 -c '
  > import json
  > a, b = json.load(open("a.answer")), json.load(open("b.answer"))
  > won = [x for x in (a, b) if "error" not in x]
  > lost = [x for x in (a, b) if x.get("error") == "stale_base"]
  > winner = "anna" if won == [a] else "berhanu"
  > if len(won) != 1 or len(lost) != 1 or lost[0]["author"] != winner:
  >     print(a, b)'
  >   base=$((base + 1))
  > done
  $ for host in e1 e2 e3; do wait_for 10 is_value 13 status_field $host revision; done

A change is in force on all hosts within 2 s of its acceptance.  The hosts' logs
have the moments: when other tests run, asking three hosts takes seconds.

  $ document last
  $ accepted=$(date +%s%3N); apply e1 last.yaml 13 | json revision
  14
  $ for host in e1 e2 e3; do wait_for 10 is_value 14 status_field $host revision; done
  $ for host in e1 e2 e3; do
  >   took_ms=$(($(logged_ms $host 'part=front msg="A configuration is in force." revision=14 ') - accepted))
  >   [ $took_ms -ge 0 ] && [ $took_ms -lt 2000 ] && echo soon
  > done
  soon
  soon
  soon

The answer of the log is lost after it appended the change: only one revision is
made.

  $ document lost; post "$(url log)/control" '{"drop_answers":1}' > /dev/null
  $ apply e3 lost.yaml 14 | json revision
  15

Old records expire, and a host is killed and replaced: it starts from a snapshot
and the records after it, with the same revision and never an older one.

  $ planner=$(status_field e1 planner)
  $ wait_for 10 grep -E "A snapshot has been written.\" offset=$(status_field e1 offset) " $planner.err
  $ post "$(url log)/control" '{"retention_records":4}'; echo
  {}
  $ status GET "$(url log)/streams/test?from=0"
  410
  $ stop e3 KILL; echo "status $?"
  status 137
  $ entry e3; wait_for 10 is_value 15 status_field e3 revision
  $ document after; apply e3 after.yaml 15 | json revision
  16
  $ for host in e1 e2 e3; do wait_for 10 is_value 16 status_field $host revision; done
  $ for host in e1 e2 e3; do get "$(url $host)/v1/config" | json digest; done | sort -u | diff - <(sha256sum < after.yaml | cut -d' ' -f1)
  $ get "$(url e3)/v1/config/history" | json revisions 0 author
  tester

All hosts are killed and replaced at once, so that none keeps its state:

  $ stop e1 KILL; stop e2 KILL; stop e3 KILL
  [137]
  $ for host in e1 e2 e3; do entry $host; done
  $ for host in e1 e2 e3; do wait_for 10 is_value 16 status_field $host revision; done

No host reported an older revision than before (revision 0 is that of a new
process that has read nothing yet):

  $ kill $watcher
  $ python3 -c '
  > newest = {}
  > for line in open("revisions"):
  >     words = line.split()
  >     if len(words) != 2 or int(words[1]) == 0:
  >         continue
  >     host, revision = words[0], int(words[1])
  >     if revision < newest.get(host, 0):
  >         print(host, "went from", newest[host], "to", revision)
  >     newest[host] = revision
  > print(sorted(newest.values()))'
  [16, 16, 16]
