#!/usr/bin/env bash
# Runs this case and writes record.txt beside it: what was sent, answered and
# run. TROUBLE=0 leaves the disruption out. Exit status: 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
folder="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
export TROUBLE="${TROUBLE:-1}"
exec "$folder/../run_case.sh" "$folder/case.py" "$folder/record.txt"
