"""Runs a case. Exits with 2 if it couldn't run, whatever the reason."""

import runpy
import sys
import traceback

sys.dont_write_bytecode = True
try:
    runpy.run_path(sys.argv[1])
except SystemExit as end:
    sys.exit(end.code)
except BaseException:  # pylint: disable=broad-except
    traceback.print_exc()
    sys.exit(2)
