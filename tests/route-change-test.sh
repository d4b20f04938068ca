#!/usr/bin/env bash
# Renames, removes and brings back every route while requests on it are in progress, and checks that no VM ends and that no
# request is lost. Guards against state of a route that is freed while its requests use it.
# usage: route-change-test.sh BUILD_FOLDER
set -uo pipefail
build=$1
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
known_red=$root/KNOWN-RED.txt
source "$root/tests/processes.sh"
trap 'kill -9 $(jobs -p) 2>/dev/null; wait 2>/dev/null; rm -rf "$work"' EXIT

slot=190
min_versions=15

timeout 120 "$build/tests/routechange/flamingousher-route-change" --daemon "$build/src/daemon/flamingousherd" \
    --folder "$work/vms" --slot $slot >"$work/result.txt" 2>&1
echo "$(tr '\n' ' ' <"$work/result.txt")"

value() { awk -v name="$1" '$1 == name { print $2 }' "$work/result.txt"; } # value NAME

is_zero() { [ "$(value "$1")" = 0 ]; }

is_served() { [ -n "$(value sent)" ] && [ $((100 * $(value served))) -ge $((98 * $(value sent))) ]; }

check "the operator has changed the routes" [ "$(value versions)" -ge $min_versions ]
check "no VM ends by itself" is_zero ended
check "every request gets an answer" is_zero unanswered
check "98 of 100 requests are served" is_served
check "no request that must not be repeated runs twice" is_zero repeated
check "what is refused as not run has not run" is_zero broken_promises
finish_checks
