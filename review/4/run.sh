#!/usr/bin/env bash
exec "$(dirname "${BASH_SOURCE[0]}")/../run_case.sh" "$(dirname "${BASH_SOURCE[0]}")"
