#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: Python files, which are compiled.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q standins-2 4 5 6 7 8
