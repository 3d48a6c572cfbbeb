A request whose key is older than the window in which outcomes are kept is
refused, and does not run.

  $ . "$ROOT/tests/scripts/lib.sh"
  $ . "$ROOT/tests/scripts/cluster.sh"
  $ cluster addis 2
  $ now () { echo "$((${EPOCHREALTIME/./} / 1000))"; }
  $ old=$(($(now) - 2 * 3600 * 1000))
  $ once="Foxtailgap-Repeatable: no"
  $ request e1 accounts "late charge" "$once" "Idempotency-Key: late" "Foxtailgap-Issued-Ms: $old" | json error
  key_expired
  $ grep -c '"run"' upstreams.history
  0
  [1]

A request with a new key runs.  Sent again with an old time of issue, while its
outcome is still kept, it gets that outcome.

  $ request e1 accounts "charge" "$once" "Idempotency-Key: new" "Foxtailgap-Issued-Ms: $(now)" | cut -d' ' -f4
  charge
  $ request e2 accounts "charge" "$once" "Idempotency-Key: new" "Foxtailgap-Issued-Ms: $old" | cut -d' ' -f4
  charge
  $ grep -c '"run"' upstreams.history
  1
  $ request e1 accounts "x" "$once" "Idempotency-Key: z" "Foxtailgap-Issued-Ms: yesterday" | json error
  bad_request
