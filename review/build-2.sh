#!/usr/bin/env bash
# Prepares the stand-ins of review/6 to review/10: they are Python programs, so
# that this only checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib-2/*.py [6-9]/*.py 10/*.py ../tests/soak/wire.py \
  ../tests/soak/standins.py <<'PROGRAM'
import ast
import os
import sys

for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            ast.parse(file.read(), path)
PROGRAM
[ -x ../target/camphorfield ] || echo "target/camphorfield is not built yet"
