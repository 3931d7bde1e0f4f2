#!/bin/sh
# The stand-ins are plain Python files for the interpreter that the deploy file's build leaves in .venv: there is
# nothing to compile. This checks that they can be compiled and imported there.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
PYTHONPATH=. .venv/bin/python -c "import review.standins"
for case in review/[0-9]/case.py; do
    .venv/bin/python -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$case"
done
