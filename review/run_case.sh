#!/usr/bin/env bash
# Runs a case with the dependencies of the deploy file's build.
# Usage: run_case.sh CASE.PY RECORD.TXT
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
exec timeout -k 2 118 python3 "$1" "$2"
