#!/usr/bin/env bash
# Builds the cores with the address and undefined behaviour sanitizers and runs their tests.
set -euo pipefail
source "$(dirname "$0")/common.sh"
install_packages
cores=(tables upstreams admission identity quarantine query accounts settings fleet wire scenario routing discovery balancing
    fanout eventlog)
cd "$root"
cmake --preset asan >/dev/null
cmake --build --preset asan --target $(printf "flamingousher_%s_tests " "${cores[@]}")
export FLAMINGOUSHER_SEEDS=${FLAMINGOUSHER_SEEDS:-100}
for core in "${cores[@]}"; do
    RC_PARAMS=seed=20261 "build/asan/src/$core/flamingousher_${core}_tests" --jobs "$(nproc)"
done
