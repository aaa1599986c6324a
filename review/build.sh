#!/bin/sh
# Builds the stand-ins. They are Python without dependencies: this compiles them with the deploy file's interpreter.
set -eu
cd "$(dirname "$0")"
test -x ../.venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
exec ../.venv/bin/python -m compileall -q .
