#!/usr/bin/env bash
# Runs the fault-injection soak test for several seeds in parallel and prints one line per seed.
# Usage: scripts/soak.sh FIRST LAST [SECONDS]
#        scripts/soak.sh --regressions   (the seeds of soak/seeds.txt)
# DAEMON: the program to run (build/release/src/daemon/flamingousherd). JOBS: number of parallel runs. LOGS: folder for
# the logs of runs with findings. TIMEOUT_S: time limit of a run in seconds.
set -euo pipefail
cd "$(dirname "$0")/.."
export DAEMON=${DAEMON:-build/release/src/daemon/flamingousherd}
export LOGS=${LOGS:-build/soak}
export TIMEOUT_S=${TIMEOUT_S:-180}
run() {
    timeout "$TIMEOUT_S" build/release/soak/flamingousher-soak --daemon "$DAEMON" --folder "$LOGS/seed-$1" --seed "$1" \
        --slot $(($1 % 200)) --seconds "$2" || { echo "seed $1: exit status $?"; return 1; }
}
export -f run
if [ "${1:-}" = --regressions ]; then
    grep -v '^#' soak/seeds.txt | while read -r seed seconds _; do echo "$seed $seconds"; done
else
    for seed in $(seq "$1" "$2"); do echo "$seed ${3:-36}"; done
fi | xargs -P "${JOBS:-4}" -L1 bash -c 'run "$0" "$1"'
