#!/usr/bin/env bash
# Runs the case in a folder with the dependencies of the deploy file's build.
set -uo pipefail
folder="$(cd "$1" && pwd)"
cd "$(dirname "${BASH_SOURCE[0]}")/.."
export PYTHONPATH="$PWD/target/deps:$PWD"
exec timeout -k 2 118 python3 "$folder/case.py" "$folder"
