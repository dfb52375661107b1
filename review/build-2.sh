#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They are Python scripts that use the standard library
# alone, so this only checks that they compile. The node is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null
for file in standins-2/*.py [0-9]*/play.py; do
  python3 - "$file" <<'PY'
import sys
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")
PY
done
