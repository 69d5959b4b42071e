#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python modules that run with the
# dependencies which the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -c 'import aiohttp, msgspec'
python3 -m compileall -q standins review
