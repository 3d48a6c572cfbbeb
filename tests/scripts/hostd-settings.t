foxtailgap-hostd checks its settings before it starts.

  $ HOSTD="$BUILD/bin/foxtailgap-hostd"
  $ "$HOSTD" --settings "$ROOT/examples/settings/foxtailgap-hostd.yaml" --check
  $ sed 's/^stop_ms.*/stop_ms: 0/; s/^store.*/store: nowhere/; s/^cpu_share.*/cpu_share: -1/' \
  >   "$ROOT/examples/settings/foxtailgap-hostd.yaml" > wrong.yaml
  $ "$HOSTD" --settings wrong.yaml --check | sed 's/^time=[^ ]* //'
  level=error part=daemon msg="The settings are not valid." file=wrong.yaml line=7 reason="store: must be IP:PORT, not 'nowhere'"
  level=error part=daemon msg="The settings are not valid." file=wrong.yaml line=11 reason="stop_ms: must be from 1 to 60000, not 0"
  level=error part=daemon msg="The settings are not valid." file=wrong.yaml line=13 reason="cpu_share: must be above 0"
  $ { cat "$ROOT/examples/settings/foxtailgap-hostd.yaml"; \
  >   echo 'memory_mb: 120.5'; echo 'caller_memory_mb: 200'; } > memory.yaml
  $ "$HOSTD" --settings memory.yaml --check | sed 's/^time=[^ ]* //'
  level=error part=daemon msg="The settings are not valid." file=memory.yaml line=16 reason="caller_memory_mb: must be at most memory_mb"
  $ sed -i 's/^memory_mb.*/memory_mb: 0/; s/^caller_memory_mb.*/caller_memory_mb: 0/' memory.yaml
  $ "$HOSTD" --settings memory.yaml --check | sed 's/^time=[^ ]* //'
  level=error part=daemon msg="The settings are not valid." file=memory.yaml line=15 reason="memory_mb: must be above 0"
  $ sed -i 's/^memory_mb.*/memory_mb: 120.5/; s/^caller_memory_mb.*/caller_memory_mb: 60/' memory.yaml
  $ "$HOSTD" --settings memory.yaml --check
  $ "$HOSTD" --settings wrong.yaml --check > /dev/null; echo $?
  2
  $ "$HOSTD" --settings none.yaml --check | grep -c 'file=none.yaml line=0 .*No such file'
  1
  $ "$HOSTD"
  foxtailgap-hostd: the option --settings is needed
  [2]
  $ "$HOSTD" --version
  foxtailgap-hostd 0.1.0
