#!/bin/sh
# Builds the stand-ins of the cases: Python without dependencies, so this only compiles them. Run it after the
# build of the deploy file, whose .venv the cases use.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "run the build of the deploy file first" >&2; exit 2; }
exec .venv/bin/python -m compileall -q review
