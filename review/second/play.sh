#!/usr/bin/env bash
# Plays one case in the folder that calls it. usage: play.sh FOLDER CASE
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
folder=$(realpath "$1")
cd "$(dirname "$0")/../.."
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout --kill-after=5 110 target/review-second/flamingousher-review-second "$2" --daemon target/src/daemon/flamingousherd \
    --folder "$work" --record "$folder/record.txt" --trouble=$trouble
result=$?
[ $result -eq 0 ] || [ $result -eq 1 ] || result=2
exit $result
