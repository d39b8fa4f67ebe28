#!/usr/bin/env bash
# Prepares what the scripts of review/11 to review/13 start besides the build of the deploy file: nothing has to be
# compiled, since their stand-ins are written in Python, with its standard library only. This checks that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
import asyncio, tomllib
for path in sorted([*pathlib.Path("common-3").glob("*.py"), *pathlib.Path(".").glob("1[1-5]/case.py")]):
    ast.parse(path.read_text(), str(path))
CHECK
echo "the stand-ins of review/11 to review/13 can run"
