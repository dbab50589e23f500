#!/bin/bash
# Builds what the cases start. The stand-ins are Python and use the standard library
# only, so they are compiled and nothing is installed.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q stand_ins review || exit 1
PYTHONPATH="$PWD" python3 -c 'import stand_ins.table_store, review.support.runner, review.support.rig'
