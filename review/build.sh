#!/usr/bin/env bash
# Builds every stand-in that a case starts. They are Python modules that need
# only the standard library, so this checks that the interpreter accepts them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, glob, sys
if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for path in sorted(glob.glob("kit/*.py") + glob.glob("[1-5]/*.py")):
    with open(path) as source:
        ast.parse(source.read(), path)
CHECK
