#!/bin/sh
# Builds the stand-ins that the scripts start: Python files, from this folder.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import glob

for path in sorted(glob.glob("standins/*.py") + glob.glob("[0-9]/*.py")):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PY
