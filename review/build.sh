#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs; this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins.py */case.py <<'PY'
import sys
for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
PY
