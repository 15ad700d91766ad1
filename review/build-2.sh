#!/bin/sh
# Checks the stand-ins of the cases 6 to 10. They are Python programs of this folder and of Tools/soak and need no build.
cd "$(dirname "$0")/.." || exit 2
exec python3 - <<'PYTHON'
import pathlib
import sys

files = sorted([*pathlib.Path("review/second").glob("*.py"), *pathlib.Path("Tools/soak").glob("*.py"),
                *(pathlib.Path("review") / str(number) / "case.py" for number in range(6, 11))])
for file in files:
    if file.exists():
        compile(file.read_text(encoding="utf-8"), str(file), "exec")
program = pathlib.Path("target/bin/lavendercart-entry")
if not program.exists():
    sys.exit(f"no program at {program}: run the build of the deploy file first")
PYTHON
