Exit codes for invalid arguments and for unreachable entry hosts.

  $ PATH=$BUILD/bin:$PATH
  $ unset FOXTAILGAP_HOSTS
  $ foxtailgapctl
  foxtailgapctl: a subcommand is missing; see foxtailgapctl --help
  [2]
  $ foxtailgapctl guess
  foxtailgapctl: there is no subcommand 'guess'; see foxtailgapctl --help
  [2]
  $ foxtailgapctl status extra
  foxtailgapctl status: unexpected argument "extra"
  [2]
  $ foxtailgapctl status --colour
  foxtailgapctl status: invalid option "--colour"
  [2]
  $ foxtailgapctl status
  foxtailgapctl: give the entry hosts as IP:PORT[,IP:PORT...] by --hosts or FOXTAILGAP_HOSTS
  [2]
  $ foxtailgapctl status --hosts localhost:80
  foxtailgapctl: give the entry hosts as IP:PORT[,IP:PORT...] by --hosts or FOXTAILGAP_HOSTS
  [2]
  $ foxtailgapctl status --hosts 127.0.0.1:1 --timeout-ms 0
  foxtailgapctl: --timeout-ms must be a whole number from 1 to 86400000, not '0'
  [2]
  $ foxtailgapctl request rounds-planning < /dev/null
  foxtailgapctl request: missing option --team=NAME
  [2]
  $ foxtailgapctl request rounds-planning --team "$(printf 'a\nb')" < /dev/null
  foxtailgapctl: --team holds a control character
  [2]
  $ foxtailgapctl submit --tasks -1
  foxtailgapctl: --tasks must be a whole number from 0 to 9223372036854775807, not '-1'
  [2]
  $ foxtailgapctl submit --payload '[1]'
  --payload: must be a JSON object
  [2]
  $ echo '{"team": ' > job.json
  $ foxtailgapctl submit job.json
  job.json:2: unexpected token near end of file
  [2]
  $ foxtailgapctl rollback latest
  foxtailgapctl: REV must be a whole number from 1 to 9223372036854775807, not 'latest'
  [2]
  $ foxtailgapctl log-level loud
  foxtailgapctl: LEVEL must be debug, info, warning or error
  [2]
  $ foxtailgapctl promote 127.0.0.1:1 127.0.0.1:2 --base 3
  foxtailgapctl: --base and --digest go together
  [2]
  $ foxtailgapctl promote 127.0.0.1:1
  foxtailgapctl promote: missing option PRODUCTION-HOSTS
  [2]

A document whose digest differs from the reviewed one is not sent.

  $ cp "$ROOT"/examples/environments/addis.yaml .
  $ export FOXTAILGAP_HOSTS=127.0.0.1:1,127.0.0.1:2
  $ foxtailgapctl apply addis.yaml --base 1 --digest 00
  foxtailgapctl: --digest must be 64 hexadecimal digits
  [2]
  $ foxtailgapctl apply addis.yaml --base 1 \
  >   --digest ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad
  addis.yaml: its digest is 9b580e8700e13b9ac187420ef0b5c0a57b6f160bf349af43b716fb37967f275d, which is not what was reviewed; nothing was done
  [2]
  $ foxtailgapctl apply addis.yaml --base 1
  foxtailgapctl apply: missing option --digest=D
  [2]

Every entry host is tried, and the message says that nothing was done.

  $ for command in status history workers jobs 'job 1' 'job 1 --why' \
  >   'cancel 1' 'outcome k' 'plan addis.yaml' 'rollback 1' 'submit --team a' \
  >   'log-level debug' 'promote 127.0.0.1:1 127.0.0.1:2' \
  >   'request s addis.yaml --team a' \
  >   "apply addis.yaml --base 0 --digest $(foxtailgapctl digest addis.yaml)"
  > do
  >   foxtailgapctl $command 2> errors
  >   echo "$? ${command:0:20}: $(tail -n 1 errors)"
  > done
  3 status: foxtailgapctl: no entry host answered; nothing was done
  3 history: foxtailgapctl: no entry host answered; nothing was done
  3 workers: foxtailgapctl: no entry host answered; nothing was done
  3 jobs: foxtailgapctl: no entry host answered; nothing was done
  3 job 1: foxtailgapctl: no entry host answered; nothing was done
  3 job 1 --why: foxtailgapctl: no entry host answered; nothing was done
  3 cancel 1: foxtailgapctl: no entry host answered; nothing was done
  3 outcome k: foxtailgapctl: no entry host answered; nothing was done
  3 plan addis.yaml: foxtailgapctl: no entry host answered; nothing was done
  3 rollback 1: foxtailgapctl: no entry host answered; nothing was done
  3 submit --team a: foxtailgapctl: no entry host answered; nothing was done
  3 log-level debug: foxtailgapctl: no entry host answered; nothing was done
  3 promote 127.0.0.1:1 : foxtailgapctl: no entry host answered; nothing was done
  3 request s addis.yaml: foxtailgapctl: no entry host answered; nothing was done
  3 apply addis.yaml --b: foxtailgapctl: no entry host answered; nothing was done
  $ cat errors
  entry host 127.0.0.1:1: no connection
  entry host 127.0.0.1:2: no connection
  foxtailgapctl: no entry host answered; nothing was done
