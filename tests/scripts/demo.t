The demonstrations; each of their steps checks its result.

  $ "$ROOT/scripts/demo" addis > addis 2> messages; tail -n 1 addis
  demo: all as expected
  $ "$ROOT/scripts/demo" brazos > brazos 2> messages; tail -n 1 brazos
  demo: all as expected
  $ grep 'NOT AS EXPECTED' addis brazos
  [1]
