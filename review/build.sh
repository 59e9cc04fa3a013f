#!/bin/sh
# Builds what the scripts of the cases start besides the daemon. Their stand-ins are Python 3 and need no build: this only checks that
# they compile and that the daemon of the deploy file is there.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import pathlib
for file in sorted(pathlib.Path("review").glob("**/*.py")):
    compile(file.read_text(), str(file), "exec")
CHECK
test -x target/bin/baobabstalld || { echo "build the daemon first, with the build command of deploy/system.toml"; exit 1; }
