#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 after the build of the deploy file: they are Python and are only compiled.
cd "$(dirname "$0")" || exit 1
exec ../.venv/bin/python -m compileall -q stands2 6 7 8 9 10
