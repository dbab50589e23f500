#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, after the build of
# deploy/system.toml. They are Python modules; they use the libraries of that build only.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q stand_ins review/support_3
PYTHONPATH="target/deps:." python3 -c "
import stand_ins.table_store
import stand_ins.task_worker
import review.support_3.installation
"
echo "the stand-ins are built"
