#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10.  They are Python programs of the
# standard library and need no compiler: this checks that they can be loaded.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
sys.path.insert(0, "review/standin-2")
import harness
'
