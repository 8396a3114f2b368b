#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are scripts of Python 3.9 or later with its standard library
# alone, so this only checks that they can be read.
cd "$(dirname "$0")" || exit 1
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 1; }
exec python3 -c '
import ast, glob
for path in sorted(glob.glob("common/*.py") + glob.glob("*/case.py")):
    ast.parse(open(path, encoding="utf-8").read(), path)
'
