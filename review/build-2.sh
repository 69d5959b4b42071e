#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review: they are Python
# and need only what the build of the deploy file puts into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review/kit_2
for case in 6 7 8 9 10; do
    if [ -f "review/$case/case.py" ]; then
        python3 -m compileall -q "review/$case"
    fi
done
PYTHONPATH=target/deps python3 -c 'from standins import platform_store, routed'
