The subcommand diff compares the meaning of two documents.

  $ PATH=$BUILD/bin:$PATH
  $ cp "$ROOT"/examples/environments/addis.yaml a.yaml

The order of fields, comments, and defaults that are written out make no
difference.

  $ sed -e '/^ *#/d' -e '/may_borrow: true/d' -e 's/tasks: 1, //' a.yaml > b.yaml
  $ foxtailgapctl diff a.yaml b.yaml
  no difference
  $ foxtailgapctl diff a.yaml b.yaml --json
  {
    "changes": []
  }

A guarantee that is split into two items is the same; teams are matched by name.

  $ cat > c.yaml <<EOF
  > environment: e
  > teams:
  > - name: one
  >   guarantees:
  >   - {count: 3, accelerators: 2, cpus_milli: 10, memory_mb: 20}
  > - name: two
  > EOF
  $ cat > d.yaml <<EOF
  > environment: e
  > teams:
  > - name: two
  > - name: one
  >   guarantees:
  >   - {count: 1, accelerators: 2, cpus_milli: 10, memory_mb: 20}
  >   - {count: 2, accelerators: 2, cpus_milli: 10, memory_mb: 20, span: any}
  > EOF
  $ foxtailgapctl diff c.yaml d.yaml
  no difference
  $ sed -e 's/count: 3/count: 5/' -e 's/two/three/' c.yaml > e.yaml
  $ foxtailgapctl diff c.yaml e.yaml
  team one: guarantee of 1 task with 2 accelerators, 10 cpus_milli, 20 memory_mb anywhere: 3 -> 5
  team two: removed (guaranteed 0 accelerators, 0 cpus_milli, 0 memory_mb)
  team three: added (guaranteed 0 accelerators, 0 cpus_milli, 0 memory_mb)

Each kind of change.

  $ sed -e 's/weight: 4/weight: 5/' -e 's/may_borrow: true/may_borrow: false/' \
  >   -e 's/count: 6, tasks: 2/count: 5, tasks: 2/' \
  >   -e 's/deadline_ms: 10000/deadline_ms: 9000/' \
  >   -e 's/latency_ms: 1200000/latency_ms: 1100000/' \
  >   -e 's/attempt_limit: 3/attempt_limit: 4/' \
  >   -e 's/kind: wash-cycle/kind: wash/' \
  >   -e 's/^environment: addis/environment: trial/' a.yaml > f.yaml
  $ foxtailgapctl diff a.yaml f.yaml
  environment: name: addis -> trial
  team routes: weight: 4 -> 5
  team routes: may_borrow: true -> false
  team routes: guarantee of 2 tasks with 8 accelerators, 120000 cpus_milli, 230000 memory_mb in one rack: 6 -> 5
  team clinics: may_borrow: true -> false
  team accounts: may_borrow: true -> false
  team rounds: may_borrow: true -> false
  service rounds-planning: deadline_ms: 10000 -> 9000
  objective of routes for dawn-plan: latency_ms: 1200000 -> 1100000
  objective of rounds for wash-cycle: removed (990 permille within 3600000 ms)
  objective of rounds for wash: added (990 permille within 3600000 ms)
  rules: attempt_limit: 3 -> 4
  $ foxtailgapctl diff a.yaml f.yaml --json | sed -n '1,14p'
  {
    "changes": [
      {
        "item": "environment",
        "field": "name",
        "before": "addis",
        "after": "trial"
      },
      {
        "item": "team routes",
        "field": "weight",
        "before": "4",
        "after": "5"
      },

The errors of both files are shown.

  $ echo 'environment: 3' > g.yaml
  $ foxtailgapctl diff g.yaml g.yaml
  g.yaml:1: teams: missing field
  g.yaml:1: teams: missing field
  [2]
