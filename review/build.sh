#!/bin/sh
# Checks that the stand-ins of the cases can be run; they need no build.
set -e
cd "$(dirname "$0")"
python3 -c 'import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name, encoding="utf-8").read(), name)' \
  standin/*.py */case.py
