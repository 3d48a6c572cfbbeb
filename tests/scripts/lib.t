The functions of lib.sh, which the scripted tests use.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ start hosts ft-hosts
  $ get http://127.0.0.1:$hosts_port/hosts | json version
  0
  $ kill -0 $hosts_pid

A paused process answers nothing until it is resumed:

  $ pause hosts
  $ status_limit_s=0.3 status GET http://127.0.0.1:$hosts_port/hosts
  000
  $ resume hosts
  $ wait_for 10 has_status 200 GET http://127.0.0.1:$hosts_port/hosts

A killed process no longer answers, and can be started again:

  $ stop hosts KILL
  [137]
  $ has_status 000 GET http://127.0.0.1:$hosts_port/hosts
  $ start hosts ft-hosts --port $hosts_port
  $ stop hosts; echo "status $?"
  status 0
  $ stop hosts; echo "status $?"
  status 0

A condition that is never met, and a program that does not start:

  $ wait_for 0 false
  timeout: false
  [1]
  $ start nothing ft-hosts --no-such-option
  nothing has not started:
  */ft-hosts: invalid option "--no-such-option" (glob)
  [1]
  $ stop nothing; echo "status $?"
  status 2
