#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They are Python programs without dependencies, so this
# only checks that the interpreter can run them and that the build of the deploy file is there.
set -eu
cd "$(dirname "$0")"
for file in common/*.py */scenario.py other/*/scenario.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
python3 -c 'import sys; sys.exit("Python 3.11 or newer is needed") if sys.version_info < (3, 11) else None'
[ -x ../target/bin/carobflowd ] || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
echo "the stand-ins are ready"
