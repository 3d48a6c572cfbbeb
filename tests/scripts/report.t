scripts/report.py makes a page of journal entries, and names the files that it
cannot read.

  $ mkdir journal; cat > journal/1.json <<'EOF'
  > {"at": ["2026-01-01T00:00:00Z"], "cmd": "score", "site": "s", "score": 0.5,
  >  "head": "0123456789abcdef", "why": "a <first> run", "days": [
  >  {"name": "quiet-1", "slot": "quiet", "G": 0.9, "rules": {},
  >   "parts": [["whole day", 0.4, 0.95], ["worst windows", 0.6, 0.5]],
  >   "prices": [["machine-seconds", 400, 0.03]]}]}
  > EOF
  $ sed 's/00:00:00/01:00:00/; s/"score": 0.5/"score": 0.75/; s/"rules": {}/"rules": {"TWICE": 1}/' journal/1.json > journal/2.json
  $ sed 's/"cmd": "score"/"cmd": "hunt"/; s/"score": 0.5/"score": null/' journal/1.json > journal/3.json
  $ echo '{"at": 1}' > journal/4.json; echo 'no json' > journal/5.json
  $ "$ROOT/scripts/report.py" journal out/page.html
  journal/4.json: left out: * (glob)
  journal/5.json: left out: * (glob)
  out/page.html: 3 entries
  $ grep -o '<td>0.750</td><td>1</td><td>0.900</td>' out/page.html
  <td>0.750</td><td>1</td><td>0.900</td>
  $ grep -c '<svg' out/page.html
  2
  $ grep -o 'a &lt;first&gt; run' out/page.html | sort -u
  a &lt;first&gt; run
  $ grep -o '<td>quiet-1</td><td>0.900</td><td>0.020</td><td>0.300</td>' out/page.html
  <td>quiet-1</td><td>0.900</td><td>0.020</td><td>0.300</td>
  $ python3 - <<'EOF'
  > import html.parser
  > html.parser.HTMLParser().feed(open("out/page.html").read())
  > EOF
  $ mkdir empty; "$ROOT/scripts/report.py" empty page.html
  empty: no entries
  [1]
  $ "$ROOT/scripts/report.py"
  usage: report.py JOURNAL OUT.html
  [2]
