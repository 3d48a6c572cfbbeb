--help and --version of the tool and of each subcommand.

  $ PATH=$BUILD/bin:$PATH
  $ foxtailgapctl --version
  foxtailgapctl 0.1.0
  $ foxtailgapctl --help
  Usage: foxtailgapctl SUBCOMMAND [ARGUMENTS]
         foxtailgapctl SUBCOMMAND --help
         foxtailgapctl --help | --version
  
  Subcommands:
    check      checks an environment document
    digest     shows the digest of a file
    diff       shows what differs between two documents
    plan       shows what a document would change
    apply      puts a reviewed document in force
    promote    takes a trial environment's document to production
    rollback   puts an earlier document in force, as a new revision
    history    lists the revisions of the configuration
    status     shows the entry hosts and their revisions
    request    sends one request to a service
    outcome    shows what became of a request
    submit     submits a job
    job        shows one job
    jobs       lists jobs
    cancel     cancels a job
    workers    lists the workers
    report     shows what objectives have used of their error budgets
    explain    tells what became of a job, by logs of hosts
    log-level  sets the log level of the entry hosts
  
  Entry hosts are given by --hosts IP:PORT[,IP:PORT...] or by the
  environment variable FOXTAILGAP_HOSTS.
  
  Exit codes: 0 done, 1 refused by the system, 2 wrong arguments or
  input file, 3 no entry host answered, 4 outcome not known, 5 ran
  and failed.
  $ commands=$(foxtailgapctl --help | sed -n 's/^  \([a-z][a-z-]*\) .*/\1/p')
  $ for command in $commands; do foxtailgapctl $command --version; done
  foxtailgapctl check 0.1.0
  foxtailgapctl digest 0.1.0
  foxtailgapctl diff 0.1.0
  foxtailgapctl plan 0.1.0
  foxtailgapctl apply 0.1.0
  foxtailgapctl promote 0.1.0
  foxtailgapctl rollback 0.1.0
  foxtailgapctl history 0.1.0
  foxtailgapctl status 0.1.0
  foxtailgapctl request 0.1.0
  foxtailgapctl outcome 0.1.0
  foxtailgapctl submit 0.1.0
  foxtailgapctl job 0.1.0
  foxtailgapctl jobs 0.1.0
  foxtailgapctl cancel 0.1.0
  foxtailgapctl workers 0.1.0
  foxtailgapctl report 0.1.0
  foxtailgapctl explain 0.1.0
  foxtailgapctl log-level 0.1.0
  $ for command in $commands; do echo "--- $command"; foxtailgapctl $command --help; done
  --- check
  Usage: foxtailgapctl check FILE [--workers=COUNT] [--rack-size=N] [--cpus-milli=N] [--memory-mb=N] [--accelerators=N] [--json] [--help] [--version]
  foxtailgapctl check checks an environment document.
  
    FILE                       environment document, - for standard input
    --workers=COUNT            also checks that all guarantees fit these workers
    --rack-size=N              workers of one rack (default 8)
    --cpus-milli=N             of each worker
    --memory-mb=N              of each worker
    --accelerators=N           of each worker
    --json                     prints JSON
    --help                     shows this help and exits
    --version                  shows the version and exits
  --- digest
  Usage: foxtailgapctl digest FILE [--json] [--help] [--version]
  foxtailgapctl digest shows the digest of a file.
  
    FILE                       any file, - for standard input
    --json                     prints JSON
    --help                     shows this help and exits
    --version                  shows the version and exits
  --- diff
  Usage: foxtailgapctl diff BEFORE AFTER [--json] [--help] [--version]
  foxtailgapctl diff shows what differs between two documents.
  
    BEFORE                     environment document
    AFTER                      environment document
    --json                     prints JSON
    --help                     shows this help and exits
    --version                  shows the version and exits
  --- plan
  Usage: foxtailgapctl plan FILE [--hosts=IP:PORT,...] [--timeout-ms=N] [--json] [--help] [--version]
  foxtailgapctl plan shows what a document would change.
  
    FILE                       environment document
    --hosts=IP:PORT,...        entry hosts, tried in this order (else $FOXTAILGAP_HOSTS)
    --timeout-ms=N             for one answer (default 10000)
    --json                     prints JSON
    --help                     shows this help and exits
    --version                  shows the version and exits
  --- apply
  Usage: foxtailgapctl apply FILE --base=REV --digest=D [--author=NAME] [--note=TEXT] [--wait] [--wait-limit-ms=N] [--hosts=IP:PORT,...] [--timeout-ms=N] [--json] [--help] [--version]
  foxtailgapctl apply puts a reviewed document in force.
  
    FILE                       environment document
    --base=REV                 revision that the plan was made on
    --digest=D                 digest of the document that was reviewed
    --author=NAME              kept in the history (default: user name)
    --note=TEXT                kept in the history
    --wait                     waits until it is in force on all hosts
    --wait-limit-ms=N          at most (default 60000)
    --hosts=IP:PORT,...        entry hosts, tried in this order (else $FOXTAILGAP_HOSTS)
    --timeout-ms=N             for one answer (default 10000)
    --json                     prints JSON
    --help                     shows this help and exits
    --version                  shows the version and exits
  --- promote
  Usage: foxtailgapctl promote TRIAL-HOSTS PRODUCTION-HOSTS [--base=REV] [--digest=D] [--author=NAME] [--note=TEXT] [--wait] [--wait-limit-ms=N] [--timeout-ms=N] [--json] [--help] [--version]
  foxtailgapctl promote takes a trial environment's document to production.
  
    TRIAL-HOSTS                entry hosts of the trial, IP:PORT,...
    PRODUCTION-HOSTS           entry hosts of production, IP:PORT,...
    --base=REV                 revision that the plan was made on
    --digest=D                 digest of the document that was reviewed
    --author=NAME              kept in the history (default: user name)
    --note=TEXT                kept in the history
    --wait                     waits until it is in force on all hosts
    --wait-limit-ms=N          at most (default 60000)
    --timeout-ms=N             for one answer (default 10000)
    --json                     prints JSON
    --help                     shows this help and exits
    --version                  shows the version and exits
  --- rollback
  Usage: foxtailgapctl rollback REV [--base=REV] [--digest=D] [--author=NAME] [--note=TEXT] [--wait] [--wait-limit-ms=N] [--hosts=IP:PORT,...] [--timeout-ms=N] [--json] [--help] [--version]
  foxtailgapctl rollback puts an earlier document in force, as a new revision.
  
    REV                        revision to take the document of
    --base=REV                 revision that the plan was made on
    --digest=D                 digest of the document that was reviewed
    --author=NAME              kept in the history (default: user name)
    --note=TEXT                kept in the history
    --wait                     waits until it is in force on all hosts
    --wait-limit-ms=N          at most (default 60000)
    --hosts=IP:PORT,...        entry hosts, tried in this order (else $FOXTAILGAP_HOSTS)
    --timeout-ms=N             for one answer (default 10000)
    --json                     prints JSON
    --help                     shows this help and exits
    --version                  shows the version and exits
  --- history
  Usage: foxtailgapctl history [--hosts=IP:PORT,...] [--timeout-ms=N] [--json] [--help] [--version]
  foxtailgapctl history lists the revisions of the configuration.
  
    --hosts=IP:PORT,...        entry hosts, tried in this order (else $FOXTAILGAP_HOSTS)
    --timeout-ms=N             for one answer (default 10000)
    --json                     prints JSON
    --help                     shows this help and exits
    --version                  shows the version and exits
  --- status
  Usage: foxtailgapctl status [--hosts=IP:PORT,...] [--timeout-ms=N] [--json] [--help] [--version]
  foxtailgapctl status shows the entry hosts and their revisions.
  
    --hosts=IP:PORT,...        entry hosts, tried in this order (else $FOXTAILGAP_HOSTS)
    --timeout-ms=N             for one answer (default 10000)
    --json                     prints JSON
    --help                     shows this help and exits
    --version                  shows the version and exits
  --- request
  Usage: foxtailgapctl request SERVICE [FILE] --team=NAME [--key=KEY] [--repeatable] [--deadline-ms=N] [--hosts=IP:PORT,...] [--timeout-ms=N] [--json] [--help] [--version]
  foxtailgapctl request sends one request to a service.
  
    SERVICE                    name of the service
    FILE                       body of the request (default: standard input)
    --team=NAME                team that the request counts for
    --key=KEY                  idempotency key (default: a new one unless --repeatable)
    --repeatable               may be run again after a failure (default: at most once)
    --deadline-ms=N            default: that of the service
    --hosts=IP:PORT,...        entry hosts, tried in this order (else $FOXTAILGAP_HOSTS)
    --timeout-ms=N             for one answer (default 10000)
    --json                     prints JSON
    --help                     shows this help and exits
    --version                  shows the version and exits
  --- outcome
  Usage: foxtailgapctl outcome KEY [--hosts=IP:PORT,...] [--timeout-ms=N] [--json] [--help] [--version]
  foxtailgapctl outcome shows what became of a request.
  
    KEY                        idempotency key
    --hosts=IP:PORT,...        entry hosts, tried in this order (else $FOXTAILGAP_HOSTS)
    --timeout-ms=N             for one answer (default 10000)
    --json                     prints JSON
    --help                     shows this help and exits
    --version                  shows the version and exits
  --- submit
  Usage: foxtailgapctl submit [FILE.json] [--team=NAME] [--kind=NAME] [--key=KEY] [--tasks=N] [--cpus-milli=N] [--memory-mb=N] [--accelerators=N] [--span=SPAN] [--declared-run-ms=N] [--data-centre=NAME] [--attempt-limit=N] [--payload=JSON] [--checkpointable] [--repeatable] [--urgent] [--wait] [--wait-limit-ms=N] [--hosts=IP:PORT,...] [--timeout-ms=N] [--json] [--help] [--version]
  foxtailgapctl submit submits a job.
  
    FILE.json                  the job, - for standard input
    --team=NAME                team that the job counts for
    --kind=NAME                kind of job
    --key=KEY                  idempotency key (default: a new one)
    --tasks=N                  tasks of the gang
    --cpus-milli=N             thousandths of a core, for each task
    --memory-mb=N              for each task
    --accelerators=N           for each task
    --span=SPAN                any, data_centre, rack or worker
    --declared-run-ms=N        expected run time
    --data-centre=NAME         default: any
    --attempt-limit=N          attempts before it is given up
    --payload=JSON             object for the tasks
    --checkpointable           may be stopped and continued later
    --repeatable               may be run again
    --urgent                   before all that is not
    --wait                     waits until it has ended
    --wait-limit-ms=N          at most (default 3600000)
    --hosts=IP:PORT,...        entry hosts, tried in this order (else $FOXTAILGAP_HOSTS)
    --timeout-ms=N             for one answer (default 10000)
    --json                     prints JSON
    --help                     shows this help and exits
    --version                  shows the version and exits
  --- job
  Usage: foxtailgapctl job ID [--why] [--wait] [--wait-limit-ms=N] [--hosts=IP:PORT,...] [--timeout-ms=N] [--json] [--help] [--version]
  foxtailgapctl job shows one job.
  
    ID                         of the job
    --why                      explains why it waits, or where it runs
    --wait                     waits until it has ended
    --wait-limit-ms=N          at most (default 3600000)
    --hosts=IP:PORT,...        entry hosts, tried in this order (else $FOXTAILGAP_HOSTS)
    --timeout-ms=N             for one answer (default 10000)
    --json                     prints JSON
    --help                     shows this help and exits
    --version                  shows the version and exits
  --- jobs
  Usage: foxtailgapctl jobs [--team=NAME] [--state=STATE] [--hosts=IP:PORT,...] [--timeout-ms=N] [--json] [--help] [--version]
  foxtailgapctl jobs lists jobs.
  
    --team=NAME                only this team's
    --state=STATE              only those queued, placed, running, finished, failed, cancelled or refused
    --hosts=IP:PORT,...        entry hosts, tried in this order (else $FOXTAILGAP_HOSTS)
    --timeout-ms=N             for one answer (default 10000)
    --json                     prints JSON
    --help                     shows this help and exits
    --version                  shows the version and exits
  --- cancel
  Usage: foxtailgapctl cancel ID [--hosts=IP:PORT,...] [--timeout-ms=N] [--json] [--help] [--version]
  foxtailgapctl cancel cancels a job.
  
    ID                         of the job
    --hosts=IP:PORT,...        entry hosts, tried in this order (else $FOXTAILGAP_HOSTS)
    --timeout-ms=N             for one answer (default 10000)
    --json                     prints JSON
    --help                     shows this help and exits
    --version                  shows the version and exits
  --- workers
  Usage: foxtailgapctl workers [--hosts=IP:PORT,...] [--timeout-ms=N] [--json] [--help] [--version]
  foxtailgapctl workers lists the workers.
  
    --hosts=IP:PORT,...        entry hosts, tried in this order (else $FOXTAILGAP_HOSTS)
    --timeout-ms=N             for one answer (default 10000)
    --json                     prints JSON
    --help                     shows this help and exits
    --version                  shows the version and exits
  --- report
  Usage: foxtailgapctl report REPORT [--plot=FILE] [--hosts=IP:PORT,...] [--timeout-ms=N] [--json] [--help] [--version]
  foxtailgapctl report shows what objectives have used of their error budgets.
  
    REPORT                     burn
    --plot=FILE                also writes a plot (SVG)
    --hosts=IP:PORT,...        entry hosts, tried in this order (else $FOXTAILGAP_HOSTS)
    --timeout-ms=N             for one answer (default 10000)
    --json                     prints JSON
    --help                     shows this help and exits
    --version                  shows the version and exits
  --- explain
  Usage: foxtailgapctl explain ID FILE [FILE]... [--json] [--help] [--version]
  foxtailgapctl explain tells what became of a job, by logs of hosts.
  
    ID                         of the job
    FILE                       logs of the hosts
    --json                     prints JSON
    --help                     shows this help and exits
    --version                  shows the version and exits
  --- log-level
  Usage: foxtailgapctl log-level LEVEL [--hosts=IP:PORT,...] [--timeout-ms=N] [--json] [--help] [--version]
  foxtailgapctl log-level sets the log level of the entry hosts.
  
    LEVEL                      debug, info, warning or error
    --hosts=IP:PORT,...        entry hosts, tried in this order (else $FOXTAILGAP_HOSTS)
    --timeout-ms=N             for one answer (default 10000)
    --json                     prints JSON
    --help                     shows this help and exits
    --version                  shows the version and exits
