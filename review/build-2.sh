#!/bin/sh
# The stand-ins of cases 6 to 10 are in review/lib-2, in Python without packages: nothing is compiled. The daemon is built by
# the command of deploy/system.toml.
cd "$(dirname "$0")" && exec python3 - <<'END'
import pathlib
import sys

sys.exit("Python 3.8 or later is needed") if sys.version_info < (3, 8) else None
for path in sorted(pathlib.Path(".").glob("lib-2/*.py")) + sorted(pathlib.Path(".").glob("[67891]*/case.py")):
    compile(path.read_text(), str(path), "exec")
END
