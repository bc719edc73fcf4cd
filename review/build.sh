#!/bin/sh
# Checks the stand-ins that the scripts start: they are plain Python and need no library.
cd "$(dirname "$0")/.." || exit 1
exec python3 - <<'PYTHON'
import ast
from pathlib import Path

for path in sorted(Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
    print(f"checked {path}")
PYTHON
