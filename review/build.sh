#!/usr/bin/env bash
# Builds the stand-ins of the scripts: `standins.py` needs nothing but Python's standard
# library, so this only checks that it compiles. The scripts also need what the build of
# `deploy/system.toml` places under `target/deps`.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib

for path in sorted(pathlib.Path(".").glob("**/*.py")):
    ast.parse(path.read_text(), str(path))
PYTHON
