#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts: bytecode of the kit and
# of the project's own, with the dependencies of the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.
python3 -m compileall -q review/kit_3 standins
python3 -c 'import review.kit_3.servers, review.kit_3.world, standins.platform_store'
