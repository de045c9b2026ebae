#!/bin/sh
# The stand-ins are Python 3 programs and need no build: checks that they can
# be compiled. The gateway is built by the command of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 1
exec python3 - review/lib/*.py review/*/case.py tests/soak/wire.py \
  tests/soak/standins.py <<'END'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
