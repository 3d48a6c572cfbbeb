The subcommands check and digest, with valid and invalid environment documents.

  $ PATH=$BUILD/bin:$PATH
  $ cp "$ROOT"/examples/environments/*.yaml .

  $ foxtailgapctl check addis.yaml
  addis.yaml: good
  environment addis: teams 4, services 1, objectives 5
  digest: 9b580e8700e13b9ac187420ef0b5c0a57b6f160bf349af43b716fb37967f275d
  
  Guaranteed in whole:
  TEAM      WEIGHT  BORROWS  REQUEST-SLOTS  ACCELERATORS  CPUS-MILLI  MEMORY-MB
  routes    4       yes      120            112           1680000     3200000
  clinics   3       yes      100            80            1200000     2280000
  accounts  1       yes      60             0             480000      880000
  rounds    2       yes      80             88            1320000     2500000
  $ foxtailgapctl check brazos.yaml
  brazos.yaml: good
  environment brazos: teams 4, services 1, objectives 4
  digest: 772f0818458e4218c8a7d0acb08d4d0e62ab1c41a5723c5d08b00cc5b4f2317a
  
  Guaranteed in whole:
  TEAM                  WEIGHT  BORROWS  REQUEST-SLOTS  ACCELERATORS  CPUS-MILLI  MEMORY-MB
  lone-star-frames      3       yes      120            80            600000      1148000
  hill-country-optical  3       yes      80             144           1080000     2070000
  gulf-coast-eyewear    2       yes      80             64            480000      920000
  chair-side            1       no       100            16            128000      256000

The digest is the SHA-256 of the file's bytes.

  $ foxtailgapctl digest addis.yaml > digest
  $ sha256sum < addis.yaml | cut -d' ' -f1 | diff - digest
  $ foxtailgapctl digest - < addis.yaml | diff - digest
  $ printf 'abc' | foxtailgapctl digest - --json
  {
    "file": "-",
    "digest": "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"
  }

All errors that the schema cannot express are shown at once, with file and line.

  $ cat > faulty.yaml <<EOF
  > environment: trial
  > teams:
  > - name: routes
  >   weight: 0
  >   quota: {accelerators: 8}
  >   guarantees:
  >   - {count: 2, accelerators: 8, cpus_milli: 1000, memory_mb: 1000}
  > - name: routes
  > services:
  > - {name: rounds-planning, deadline_ms: 90000}
  > objectives:
  > - {team: clinics, kind: wards, latency_ms: 1000, success_permille: 999}
  > rules:
  >   attempt_limit: 0
  > EOF
  $ foxtailgapctl check faulty.yaml
  faulty.yaml:4: teams[0].weight: must be from 1 to 1000, not 0
  faulty.yaml:5: teams[0].quota.accelerators: 8 is less than the 16 that the team's guarantees add up to
  faulty.yaml:8: teams[1].name: 'routes' is given already at line 3
  faulty.yaml:10: services[0].deadline_ms: 90000 is more than deadline_max_ms, 60000
  faulty.yaml:12: objectives[0].team: there is no team 'clinics'
  faulty.yaml:14: rules.attempt_limit: must be from 1 to 100, not 0
  [2]
  $ foxtailgapctl check faulty.yaml --json
  {
    "file": "faulty.yaml",
    "good": false,
    "digest": "e005cd4169c10110f079e7bd4d2e86b0d83d2074b01a9518b6ba97f9f70aaeda",
    "messages": [
      {
        "line": 4,
        "text": "teams[0].weight: must be from 1 to 1000, not 0"
      },
      {
        "line": 5,
        "text": "teams[0].quota.accelerators: 8 is less than the 16 that the team's guarantees add up to"
      },
      {
        "line": 8,
        "text": "teams[1].name: 'routes' is given already at line 3"
      },
      {
        "line": 10,
        "text": "services[0].deadline_ms: 90000 is more than deadline_max_ms, 60000"
      },
      {
        "line": 12,
        "text": "objectives[0].team: there is no team 'clinics'"
      },
      {
        "line": 14,
        "text": "rules.attempt_limit: must be from 1 to 100, not 0"
      }
    ],
    "teams": []
  }
  [2]

A violation of the schema is shown alone.

  $ sed 's/weight/wieght/' faulty.yaml | foxtailgapctl check -
  -:4: teams[0].wieght: unknown field
  [2]
  $ sed 's/weight: 0/weight: 9223372036854775808/' faulty.yaml \
  >   | foxtailgapctl check -
  -:4: teams[0].weight: not a whole number in its bounds: '9223372036854775808'
  [2]
  $ printf 'environment: [' | foxtailgapctl check -
  -:2: did not find expected node content
  [2]
  $ head -c 600000 /dev/zero | tr '\0' ' ' | foxtailgapctl check -
  -: larger than 524288 bytes
  [2]
  $ printf '\377\376\1\200' | foxtailgapctl check -
  -:1: must have fields of its own
  [2]
  $ foxtailgapctl check missing.yaml
  missing.yaml: No such file or directory
  [2]
