#!/usr/bin/env bash
# Sends a request that crashes every upstream executing it through three daemons in turn and counts the crashes.
# usage: quarantine-test.sh BUILD_FOLDER
set -uo pipefail
bin=$1/src
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
pids=()
searchers=()
shards=4
known_red=$root/KNOWN-RED.txt
host_base=40
platform=127.0.0.1:17200
key=quarantine-test-key
source "$root/tests/processes.sh"
trap 'kill -9 "${pids[@]}" "${searchers[@]}" 2>/dev/null; wait 2>/dev/null; rm -rf "$work"' EXIT

crashes() {
    local pid count=0
    for pid in "${searchers[@]}"; do kill -0 "$pid" 2>/dev/null || count=$((count + 1)); done
    echo "$count"
}

"$bin/standins/flamingousher-platform" --port 17200 >"$work/platform" & pids+=($!)
# Runs each searcher in its own process, so that a crash takes down only one upstream.
for ((index = 0; index < 3 * shards; ++index)); do
    "$bin/standins/flamingousher-searcher" --catalogue "$root/examples/catalogue.tsv" --port $((22000 + index)) \
        --shards $shards --first_shard $((index % shards)) >"$work/searcher$index" & searchers+=($!)
done
"$bin/standins/flamingousher-searcher" --port $((22000 + 3 * shards)) --count 3 >"$work/ledger" & pids+=($!)
sleep 1
bash "$root/examples/make-tables.sh" "$work/tables" $shards 3 22000
"$bin/ctl/flamingousherctl" --platform "$platform" publish "$work/tables/routes.ini" "$work/tables/pools.ini" >/dev/null
http PUT "$platform" /v1/vms "$(list_vms 3)" >/dev/null
for vm in 1 2 3; do
    settings $vm "$(printf '%b' "\\x6$vm")"
    "$bin/daemon/flamingousherd" --settings "$work/vm$vm.ini" >"$work/vm$vm.log" 2>&1 & pids+=($!)
done
for vm in 1 2 3; do check "vm-$vm becomes ready" wait_ready $vm; done
sleep 4
for ((index = 0; index < 3 * shards; ++index)); do
    http PUT 127.0.0.1:$((22000 + index)) /control '{"crash_on":"poison"}' >/dev/null
done
for round in 1 2; do
    for vm in 1 2 3; do
        http GET "$(address $vm):8080" '/slings?q=poison' >"$work/answer"
        cat "$work/answer"
    done
done
count=$(crashes)
echo "upstreams crashed: $count"
check "the request has crashed upstreams at all" [ "$count" -ge 1 ]
check "it has crashed two upstreams at most" [ "$count" -le 2 ]
check "it is refused as quarantined" grep -q '"error":"quarantined"' "$work/answer"
check "the refusal says that it was not run" grep -q '"run_state":"not run"' "$work/answer"
check "another request is answered from every shard" grep -q "\"answered\":$shards,\"asked\":$shards" <(http GET "$(address 2):8080" '/slings?q=denim')
finish_checks
