#!/usr/bin/env bash
# Builds the stand-ins and drivers of cases 6 to 10: Python with the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q review/support_2 review/6 review/7 review/8 review/9 review/10
