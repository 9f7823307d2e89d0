#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are Python programs of the standard library, so there is nothing
# to compile; this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - *_3.py 1[1-5]/*.py <<'PYTHON'
import sys
if sys.version_info < (3, 9):
    sys.exit("python3 is older than 3.9")
for name in sys.argv[1:]:
    compile(open(name).read(), name, "exec")
PYTHON
