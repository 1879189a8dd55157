#!/bin/sh
# The stand-ins of the cases are Python programs without dependencies, so nothing is
# compiled: this checks that the interpreter is there and can read all of them.
set -e
cd "$(dirname "$0")"
python3 -B - lib/*.py */case.py <<'PY'
import sys
assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for path in sys.argv[1:]:
    with open(path) as f:
        compile(f.read(), path, "exec")
PY
test -x ../target/release/anvilloft-platform || {
    echo "build the deploy file first: cargo build --release --locked --package anvilloft-platform" >&2
    exit 1
}
