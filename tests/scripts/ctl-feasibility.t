The subcommand check, against a number of equal workers.

  $ PATH=$BUILD/bin:$PATH
  $ cp "$ROOT"/examples/environments/*.yaml .

Both examples fit 50 workers in racks of 8, the last rack with 2.

  $ foxtailgapctl check addis.yaml --workers 50 --cpus-milli 130000 \
  >   --memory-mb 256000 --accelerators 8 | head -n 1
  addis.yaml: good
  $ foxtailgapctl check brazos.yaml --workers 50 --cpus-milli 64000 \
  >   --memory-mb 128000 --accelerators 8 | head -n 1
  brazos.yaml: good

The team and the shape that do not fit are named: a gang in one rack does not
fit smaller racks.

  $ cat > rack.yaml <<EOF
  > environment: e
  > teams:
  > - name: a
  >   guarantees:
  >   - {tasks: 4, accelerators: 8, cpus_milli: 1000, memory_mb: 1000, span: rack}
  > EOF
  $ foxtailgapctl check rack.yaml --workers 4 --rack-size 4 --cpus-milli 2000 \
  >   --memory-mb 2000 --accelerators 8 | head -n 1
  rack.yaml: good
  $ foxtailgapctl check rack.yaml --workers 9 --rack-size 3 --cpus-milli 2000 \
  >   --memory-mb 2000 --accelerators 8
  rack.yaml: no room for team a: 4 x (8 accelerators, 1.0 cpus, 1000 MB) in one rack
  [2]

The arguments that describe the workers have to be given together.

  $ foxtailgapctl check rack.yaml --workers 4
  foxtailgapctl: --workers, --cpus-milli, --memory-mb and --accelerators go together
  [2]
  $ foxtailgapctl check rack.yaml --rack-size 4
  foxtailgapctl: --workers, --cpus-milli, --memory-mb and --accelerators go together
  [2]
