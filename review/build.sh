#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs of the standard library and need no compiler.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import pathlib

for path in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
