#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 (harness_2.py) are plain Python of the standard library:
# nothing has to be installed. This checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast, pathlib, sys
assert sys.version_info >= (3, 11)
for path in [pathlib.Path("review/harness_2.py"), *pathlib.Path("review").glob("*/case.py")]:
    ast.parse(path.read_text(), str(path))
PY
