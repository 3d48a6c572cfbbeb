#!/bin/sh
# Builds the stand-ins of review/11 to review/15.  They are Python programs
# that use the standard library alone, so there is nothing to compile: this
# checks that the interpreter is new enough and that each file can be parsed.
set -eu
cd "$(dirname "$0")"
python3 -B - standin-3/*.py 1[1-5]/*.py <<'END'
import ast
import sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed (tomllib)"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
print(len(sys.argv) - 1, "files can be run")
END
