#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs in review/lib and in the folders of the cases, so
# this only checks that Python 3 is there and reads them. scripts/setup installs it with the tests' other packages.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [0-9]/*.py <<'CHECK'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
