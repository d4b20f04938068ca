#!/usr/bin/env bash
# Sends a VM several signals while it stops: the platform may request a settings reload or repeat a signal at any time.
# usage: signals-test.sh BUILD_FOLDER
set -uo pipefail
bin=$1/src
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
known_red=$root/KNOWN-RED.txt
daemon=
source "$root/tests/processes.sh"
trap 'kill -9 "$daemon" 2>/dev/null; wait 2>/dev/null; rm -rf "$work"' EXIT

# No store listens at its address: signals must be handled without one.
cat > "$work/vm.ini" <<END
[node]
name = vm
address = 127.0.0.90
zone = a
[listen]
callers = 127.0.0.90:8226
readiness = 127.0.0.90:8227
operators = 127.0.0.90:9180
[platform]
kind = store
store = 127.0.0.90:8229
[peers]
gossip = 127.0.0.90:8224
key = signals-test-key
END

start() {
    : > "$work/log"
    "$bin/daemon/flamingousherd" --settings "$work/vm.ini" > "$work/log" 2>&1 & daemon=$!
    for try in $(seq 100); do grep -q '"event":"started"' "$work/log" && return; sleep 0.05; done
}

status_after() { # status_after SIGNAL...: exit status of a process that gets the signals one after the other
    start
    local signal
    for signal in "$@"; do kill "-$signal" "$daemon"; sleep 0.2; done
    wait "$daemon"
}

check "a change of the settings does not end the process" status_after HUP HUP TERM
check "a change of the settings while it stops does not end it" status_after TERM HUP
check "a second request to stop does not cut the first short" status_after TERM TERM
finish_checks
