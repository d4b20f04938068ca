#!/usr/bin/env bash
# Searchers fail some requests that have run. Exits with 1 if one is answered as not run, 0 if none is, 2 if it could not run.
set -uo pipefail
trouble=${TROUBLE:-1} # 0: without the disruption
name=unmarked-refusal
source "$(dirname "$0")/../case.sh"
