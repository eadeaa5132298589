#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 10, which need no other build.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit('Python 3.11 or newer is needed')
for name in ['harness2.py', *(f'{n}/case.py' for n in range(6, 11))]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_text(), name, 'exec')
if not pathlib.Path('../target/deps').is_dir():
    sys.exit('the build of the deploy file comes first')
PYTHON
