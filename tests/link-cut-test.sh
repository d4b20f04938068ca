#!/usr/bin/env bash
# Cuts the links of VMs to the searchers, in several patterns, and checks that their callers are served as those of others.
# usage: link-cut-test.sh BUILD_FOLDER
set -uo pipefail
build=$1
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
known_red=$root/KNOWN-RED.txt
source "$root/tests/processes.sh"
trap 'kill -9 $(jobs -p) 2>/dev/null; wait 2>/dev/null; rm -rf "$work"' EXIT

first_slot=180
max_answer_ms=500 # goal of the routes
scenarios="reset refuse delegates service all gone"

run() { # run SLOT SCENARIO
    timeout 120 "$build/tests/linkcut/flamingousher-link-cut" --daemon "$build/src/daemon/flamingousherd" \
        --folder "$work/$2" --scenario "$2" --slot "$1" >"$work/$2.txt" 2>&1
}

value() { awk -v name="$2" '$1 == name { print $2 }' "$work/$1.txt"; } # value SCENARIO NAME

is_zero() { [ "$1" = 0 ]; }

is_at_most() { [ -n "$1" ] && [ "$1" -le "$2" ]; }

# Of the rule: two thirds as often as at other VMs.
is_served_alike() { # is_served_alike SCENARIO ROUTE
    local cut_sent cut_served other_sent other_served
    cut_sent=$(value "$1" "cut_$2_sent") cut_served=$(value "$1" "cut_$2_served")
    other_sent=$(value "$1" "other_$2_sent") other_served=$(value "$1" "other_$2_served")
    [ -n "$cut_sent" ] && [ "$cut_sent" -gt 0 ] && [ $((3 * cut_served * other_sent)) -ge $((2 * other_served * cut_sent)) ]
}

# Of the rule: at most 10 + 1 in 50 fail.
is_served() { # is_served SCENARIO GROUP...
    local scenario=$1 group sent=0 served=0
    shift
    for group in "$@"; do
        sent=$((sent + $(value "$scenario" "${group}_sent")))
        served=$((served + $(value "$scenario" "${group}_served")))
    done
    [ "$sent" -gt 0 ] && [ $((sent - served)) -le $((10 + sent / 50)) ]
}

slot=$first_slot
for pair in "reset refuse" "delegates service" "all gone"; do
    pids=()
    for scenario in $pair; do
        run $slot "$scenario" & pids+=($!)
        slot=$((slot + 1))
    done
    wait "${pids[@]}"
done

for scenario in $scenarios; do
    echo "$scenario: $(tr '\n' ' ' <"$work/$scenario.txt")"
    check "$scenario: what is refused as not run has not run" is_zero "$(value $scenario broken_promises)"
    check "$scenario: no request that must not be repeated runs twice" is_zero "$(value $scenario repeated)"
    check "$scenario: links are used again soon after their return" is_served $scenario restored
done
for scenario in reset refuse delegates service; do
    for route in one unsafe all; do
        check "$scenario: callers of VMs without links are served as others, route $route" is_served_alike $scenario $route
    done
    check "$scenario: almost all requests are served" is_served $scenario \
        cut_one cut_unsafe cut_all other_one other_unsafe other_all
done
check "gone: the other services are served" is_served gone cut_all
for scenario in all gone; do
    check "$scenario: what no VM can serve is refused at once" is_at_most "$(value $scenario slowest_refusal_ms)" $max_answer_ms
done
finish_checks
