#!/usr/bin/env bash
# All searchers of a service send bytes without end to a small VM. Checks that the VM stays within its memory and serves its
# other service. Guards against responses that are bounded each, but not together.
# usage: endless-answers-test.sh BUILD_FOLDER
set -uo pipefail
build=$1
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
known_red=$root/KNOWN-RED.txt
source "$root/tests/processes.sh"
trap 'kill -9 $(jobs -p) 2>/dev/null; wait 2>/dev/null; rm -rf "$work"' EXIT

first_slot=191
memory_mb=160

slot=$first_slot
pids=()
for bytes in body chunks head interim trickle; do
    timeout 120 "$build/tests/endlessanswers/flamingousher-endless-answers" --daemon "$build/src/daemon/flamingousherd" \
        --folder "$work/$bytes" --bytes $bytes --slot $slot --memory_mb $memory_mb >"$work/$bytes.txt" 2>&1 &
    pids+=($!)
    slot=$((slot + 1))
done
wait "${pids[@]}"

value() { awk -v name="$2" '$1 == name { print $2 }' "$work/$1.txt"; } # value KIND NAME

is_zero() { [ "$(value "$1" "$2")" = 0 ]; }

is_within_memory() { [ "$(value "$1" peak_mb)" -gt 0 ] && [ "$(value "$1" peak_mb)" -lt $memory_mb ]; }

is_served() { [ "$(value "$1" sound_sent)" -gt 0 ] && [ $((100 * $(value "$1" sound_served))) -ge $((98 * $(value "$1" sound_sent))) ]; }

for bytes in body chunks head interim trickle; do
    echo "$bytes: $(tr '\n' ' ' <"$work/$bytes.txt")"
    check "$bytes: the VM does not end" is_zero $bytes ended
    check "$bytes: the VM stays within its memory" is_within_memory $bytes
    check "$bytes: 98 of 100 requests to the sound service are served" is_served $bytes
    check "$bytes: every request to the faulty service gets an answer" is_zero $bytes faulty_unanswered
done
finish_checks
