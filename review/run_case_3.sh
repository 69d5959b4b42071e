#!/usr/bin/env bash
# Runs the script of one case, with the dependencies of the deploy file's
# build: run_case_3.sh FOLDER.
set -euo pipefail
case_folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$case_folder/case.py"
