#!/bin/bash
# Checks that every script of the cases 6 to 10 can run. Their stand-ins are
# written in Python (standard library only), so nothing is compiled.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
for file in kit-2/*.py [0-9]*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x ../target/src/magnoliatide || {
  echo "target/src/magnoliatide is missing: run the build of deploy/system.toml" >&2
  exit 1
}
