#!/bin/sh
# The stand-ins of the cases 6 to 10 need no build: they are Python of the standard library. This checks that
# they can be read by the interpreter of the deploy file's build.
here=$(cd "$(dirname "$0")" && pwd) || exit 1
"$here/../.venv/bin/python" -B -c '
import ast, pathlib, sys
for path in sys.argv[1:]:
    ast.parse(pathlib.Path(path).read_text(encoding="utf-8"), path)
' "$here/standins_2.py" "$here"/6/case.py "$here"/7/case.py "$here"/8/case.py "$here"/9/case.py "$here"/10/case.py
