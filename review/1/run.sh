#!/usr/bin/env bash
# The operator removes routes that are in use. Exits with 1 if requests are lost, 0 if none is, 2 if it could not run.
set -uo pipefail
trouble=${TROUBLE:-1} # 0: without the disruption
name=route-removal
source "$(dirname "$0")/../case.sh"
