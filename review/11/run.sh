#!/usr/bin/env bash
# Runs this case and writes record.txt beside it: what was sent, answered and
# run. TROUBLE=0 leaves the disruption out. Exit status: 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
export TROUBLE="${TROUBLE:-1}"
exec "$folder/../run_case_3.sh" "$folder/case.py" "$folder/record.txt"
