#!/usr/bin/env bash
# Runs a script of the third review, with the dependencies of the deploy
# file's build: run_case_3.sh CASE RECORD. Exits with 2 if they are not there.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=target/deps:.
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import review.kit_3.turns, balsamdale.platform' || exit 2
exec python3 "$1" "$2"
