#!/usr/bin/env bash
# Crowds of clients that keep to no limits send to each port of a VM with little memory and few descriptors. Checks that
# the VM lives, stays within its memory and its descriptors, and answers an ordinary request while the crowd is there.
# usage: hostile-clients-test.sh BUILD_FOLDER [KIND...]
set -uo pipefail
build=$1
shift
kinds=${*:-trailers heads large-chunks small-chunks length silence pipeline all}
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
known_red=$root/KNOWN-RED.txt
source "$root/tests/processes.sh"
trap 'kill -9 $(jobs -p) 2>/dev/null; wait 2>/dev/null; rm -rf "$work"' EXIT

slot=${SLOT:-180}
memory_mb=${MEMORY_MB:-64}
descriptor_limit=512
max_descriptors=450 # the rest is for connections to upstreams and other VMs, and for files

value() { awk -v name="$2" '$1 == name { print $2 }' "$work/$1.txt"; } # value KIND NAME

is() { [ "$(value "$1" "$2")" = "$3" ]; } # is KIND NAME VALUE

is_below() { [ -n "$(value "$1" "$2")" ] && [ "$(value "$1" "$2")" -gt 0 ] && [ "$(value "$1" "$2")" -lt "$3" ]; }

# One at a time: each measures what one VM holds.
for kind in $kinds; do
    timeout 180 "$build/tests/hostileclients/flamingousher-hostile-clients" --daemon "$build/src/daemon/flamingousherd" \
        --folder "$work/$kind" --bytes "$kind" --slot "$slot" --memory_mb "$memory_mb" --descriptors $descriptor_limit \
        >"$work/$kind.txt" 2>"$work/$kind.err" &
    wait $!
    echo "$kind: $(tr '\n' ' ' <"$work/$kind.txt")"
    check "$kind: the largest body inside the limits is served in calm" is "$kind" largest_body_served 1
    for port in callers fanouts operators readiness; do
        check "$kind at $port: the VM does not end" is "$kind" ${port}_ended 0
        check "$kind at $port: the VM stays within its memory" is_below "$kind" ${port}_peak_mb "$memory_mb"
        check "$kind at $port: the VM stays within its descriptors" is_below "$kind" ${port}_descriptors $max_descriptors
        check "$kind at $port: an ordinary request is answered" is "$kind" ${port}_served 1
    done
    slot=$((slot + 1))
done
finish_checks
