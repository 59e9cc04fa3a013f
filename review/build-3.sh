#!/usr/bin/env bash
# What the scripts of the cases 11 to 15 start beside the daemon of the deploy file (target/bin/baobabstalld): stand-ins in Python 3, of standins/hosting
# and review/lib-3. Nothing is compiled ahead; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
check='import ast, sys
for path in sys.argv[1:]:
    ast.parse(open(path, encoding="utf-8").read(), path)'
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
python3 -c "$check" standins/hosting/*.py review/lib-3/*.py review/1[1-5]/*.py
echo "the stand-ins of the cases 11 to 15 can be read"
