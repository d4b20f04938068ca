#!/usr/bin/env bash
# Sends a request that ends every searcher that runs it to six VMs, which follow a store, in several patterns of time.
# usage: crashing-request-test.sh BUILD_FOLDER
set -uo pipefail
build=$1
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
known_red=$root/KNOWN-RED.txt
source "$root/tests/processes.sh"
trap 'kill -9 $(jobs -p) 2>/dev/null; wait 2>/dev/null; rm -rf "$work"' EXIT

first_slot=170
max_late_arrivals=3 # of the rule, for requests sent later than the stable window after the third crash
max_answer_ms=500   # goal of the routes

run() { # run SLOT SCENARIO
    timeout 120 "$build/tests/crashingrequest/flamingousher-crashing-request" --daemon "$build/src/daemon/flamingousherd" \
        --folder "$work/$2" --scenario "$2" --slot "$1" >"$work/$2.txt" 2>&1
}

run_together() { # run_together SCENARIO...
    local scenario slot=$first_slot pids=()
    for scenario in "$@"; do
        run $slot "$scenario" & pids+=($!)
        slot=$((slot + 1))
    done
    wait "${pids[@]}"
}

value() { awk -v name="$2" '$1 == name { print $2 }' "$work/$1.txt"; } # value SCENARIO NAME

is_at_most() { [ -n "$1" ] && [ "$1" -le "$2" ]; }

is_served() { # is_served SCENARIO: all but one in a hundred
    local unserved
    unserved=$(value "$1" unserved)
    [ -n "$unserved" ] && [ $((100 * unserved)) -le "$(value "$1" innocent)" ]
}

run_together service gather delegated unsafe killed
run_together rare return restart frozen
for scenario in service gather delegated unsafe rare return restart frozen; do
    echo "$scenario: $(tr '\n' ' ' <"$work/$scenario.txt")"
    check "$scenario: a request that crashes searchers reaches three more at most" \
        is_at_most "$(value $scenario late_arrivals)" $max_late_arrivals
    check "$scenario: it is refused as not run by every VM" is_at_most "$(value $scenario late_not_refused)" $max_late_arrivals
    check "$scenario: it is refused at once" is_at_most "$(value $scenario late_slowest_ms)" $max_answer_ms
    check "$scenario: other requests are served" is_served $scenario
done
echo "killed: $(tr '\n' ' ' <"$work/killed.txt")"
check "killed: no other request is refused" [ "$(value killed unserved)" = 0 ]
check "killed: other requests are sent" [ "$(value killed innocent)" -ge 500 ]
finish_checks
