#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They are Python with the standard library
# only, and none of the project's own stand-ins is used, so compiling checks them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import pathlib

for folder in ("lib2", "6", "7", "8", "9", "10"):
    for path in sorted(pathlib.Path("review", folder).glob("*.py")):
        compile(path.read_text(), str(path), "exec")
CHECK
