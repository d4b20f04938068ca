#!/usr/bin/env bash
# Sends a request that crashes every upstream that runs it through three daemons in turn and counts the crashes.
# usage: quarantine-test.sh BUILD_FOLDER
set -uo pipefail
bin=$1/src
root=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
pids=()
searchers=()
passed=0
failed=0
shards=4
trap 'kill -9 "${pids[@]}" "${searchers[@]}" 2>/dev/null; wait 2>/dev/null; rm -rf "$work"' EXIT

check() {
    local what=$1
    shift
    if "$@"; then
        passed=$((passed + 1))
        echo "ok: $what"
    else
        failed=$((failed + 1))
        echo "FAILED: $what"
    fi
}
http() { # http METHOD ADDRESS:PORT TARGET [BODY]
    local body=${4:-}
    exec 3<>"/dev/tcp/${2%:*}/${2#*:}" || return 1
    printf '%s %s HTTP/1.1\r\nHost: t\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' "$1" "$3" "${#body}" "$body" >&3
    sed '1,/^\r$/d' <&3
    exec 3<&-
}
address() { echo "127.0.0.$((40 + $1))"; }
wait_ready() {
    local try
    for try in $(seq 300); do
        http GET "$(address "$1"):8090" /ready 2>/dev/null | grep -q '^ready' && return 0
        sleep 0.1
    done
    return 1
}
crashes() {
    local pid count=0
    for pid in "${searchers[@]}"; do kill -0 "$pid" 2>/dev/null || count=$((count + 1)); done
    echo "$count"
}

"$bin/standins/flamingousher-platform" --port 17200 >"$work/platform" & pids+=($!)
# One process for each searcher, so that a crash is one crash.
for ((index = 0; index < 3 * shards; ++index)); do
    "$bin/standins/flamingousher-searcher" --catalogue "$root/examples/catalogue.tsv" --port $((22000 + index)) \
        --shards $shards --first_shard $((index % shards)) >"$work/searcher$index" & searchers+=($!)
done
"$bin/standins/flamingousher-searcher" --port $((22000 + 3 * shards)) --count 3 >"$work/ledger" & pids+=($!)
sleep 1
bash "$root/examples/make-tables.sh" "$work/tables" $shards 3 22000
"$bin/ctl/flamingousherctl" --platform 127.0.0.1:17200 publish "$work/tables/routes.ini" "$work/tables/pools.ini" >/dev/null
http PUT 127.0.0.1:17200 /v1/vms "[$(for vm in 1 2 3; do printf '{"address":"%s:8081","state":"live"},' "$(address $vm)"; done | sed 's/,$//')]" >/dev/null
for vm in 1 2 3; do
    cat > "$work/vm$vm.ini" <<END
[node]
name = vm-$vm
address = $(address $vm)
zone = $(printf '%b' "\\x6$vm")
[listen]
callers = $(address $vm):8080
peers = $(address $vm):8081
operators = $(address $vm):8090
[platform]
configuration = 127.0.0.1:17200
vms = 127.0.0.1:17200
[peers]
key = quarantine-test-key
END
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
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
