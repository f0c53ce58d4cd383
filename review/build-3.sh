#!/usr/bin/env bash
# The stand-ins of the cases are Python of the standard library, in review/harness_3.py:
# they need no build. This checks that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import ast, pathlib, sys
for path in ["review/harness_3.py", *map(str, pathlib.Path("review").glob("1[1-5]/case.py"))]:
    ast.parse(pathlib.Path(path).read_text(), path)
import tomllib, asyncio
assert sys.version_info >= (3, 11)'
