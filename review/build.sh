#!/bin/sh
# The stand-ins of the cases are Python files in review/lib, which use the standard
# library only. This checks that they compile; nothing else has to be built.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'PY'
from pathlib import Path

for path in sorted(Path(".").glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
PY
