#!/bin/sh
# The stand-ins are Python modules of the standard library alone; check that
# they compile.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 - review/standins.py review/*/case.py <<'PY'
import sys

for path in sys.argv[1:]:
    with open(path, encoding='utf-8') as file:
        compile(file.read(), path, 'exec')
PY
