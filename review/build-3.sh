#!/usr/bin/env bash
# Prepares the stand-ins of review/11 to review/15: they are Python programs, so
# that this only checks that they can be loaded. The gateway is built by the
# command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib-3/*.py 1[1-5]/*.py <<'PROGRAM'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PROGRAM
[ -x ../target/camphorfield ] || echo "target/camphorfield is not built yet"
