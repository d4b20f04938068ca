#!/usr/bin/env bash
# Builds the product, runs it against stand-ins on loopback addresses, and demonstrates its features.
# usage: scripts/demo.sh [--catalogue FILE]
set -euo pipefail
source "$(dirname "$0")/common.sh"
catalogue="$root/examples/catalogue.tsv"
if [ "${1:-}" = --catalogue ]; then catalogue=$(realpath "$2"); fi
install_packages
build release >/dev/null
bin="$root/build/release/src"
work=$(mktemp -d)
pids=()
stop_all() {
    local pid
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT
say() { printf '\n== %s\n' "$*"; }
ctl() { "$bin/ctl/flamingousherctl" --operators "$operators" "$@"; }
# HTTP GET with shell built-ins only: get ADDRESS PORT TARGET
get() {
    exec 3<>"/dev/tcp/$1/$2"
    printf 'GET %s HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n' "$3" >&3
    sed '1,/^\r$/d' <&3
    exec 3<&-
}
put() { # put ADDRESS PORT TARGET BODY
    exec 3<>"/dev/tcp/$1/$2"
    printf 'PUT %s HTTP/1.1\r\nHost: demo\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s' "$3" "${#4}" "$4" >&3
    cat <&3 >/dev/null
    exec 3<&-
}
start() { # start LOG COMMAND...
    local log="$work/$1"
    shift
    "$@" >"$log" 2>&1 &
    pids+=($!)
}
wait_for() { # wait_for DESCRIPTION COMMAND...
    local what=$1
    shift
    for _ in $(seq 300); do "$@" >/dev/null 2>&1 && return; sleep 0.1; done
    echo "gave up waiting: $what"
    exit 1
}
shards=75
say "starting the platform stand-in and 150 searchers (75 shards, 2 replicas), 3 of a ledger"
start platform "$bin/standins/flamingousher-platform" --port 17000
start searchers-a0 "$bin/standins/flamingousher-searcher" --catalogue "$catalogue" --port 20000 --shards $shards --count 40
pid_a0=${pids[-1]}
start searchers-a1 "$bin/standins/flamingousher-searcher" --catalogue "$catalogue" --port 20040 --shards $shards --first_shard 40 --count 35
start searchers-b "$bin/standins/flamingousher-searcher" --catalogue "$catalogue" --port 20075 --shards $shards --count 75
pid_b=${pids[-1]}
start ledger "$bin/standins/flamingousher-searcher" --port 20150 --count 3 --slots 6 --connections 110
for log in platform searchers-a0 searchers-a1 searchers-b ledger; do wait_for "$log" grep -q ready "$work/$log"; done

say "publishing the tables"
bash "$root/examples/make-tables.sh" "$work/tables" $shards 2 20000
ctl_platform=(--platform 127.0.0.1:17000)
operators=127.0.0.11:8090,127.0.0.12:8090,127.0.0.13:8090
ctl "${ctl_platform[@]}" publish "$work/tables/routes.ini" "$work/tables/pools.ini"

say "starting three daemons, one for each VM"
for vm in 1 2 3; do
    cat > "$work/vm$vm.ini" <<END
[node]
name = vm-$vm
address = 127.0.0.1$vm
readiness_notice_ms = 300
zone = $(printf '%b' "\\x6$vm")
[listen]
callers = 127.0.0.1$vm:8080
peers = 127.0.0.1$vm:8081
operators = 127.0.0.1$vm:8090
[platform]
configuration = 127.0.0.1:17000
vms = 127.0.0.1:17000
[peers]
key = demonstration-key-only
END
    start "vm$vm.log" "$bin/daemon/flamingousherd" --settings "$work/vm$vm.ini"
done
daemon_pids=("${pids[@]: -3}")
put 127.0.0.1 17000 /v1/vms '[{"address":"127.0.0.11:8081","state":"live"},{"address":"127.0.0.12:8081","state":"live"},{"address":"127.0.0.13:8081","state":"live"}]'
ready() { [ "$(get "127.0.0.1$1" 8090 /ready)" = ready ]; }
for vm in 1 2 3; do wait_for "vm-$vm ready" ready $vm; done

say "a query over $shards shards, against a plain scan of the catalogue"
query=$(awk -F '\t' '{ split($2, words, " "); print words[1]; exit }' "$catalogue")
answer=$(get 127.0.0.11 8080 "/slings?q=$query&k=10")
printf '%s\n' "$answer" | cut -c1-300
ids() { grep -o '"id":"[^"]*"' | cut -d'"' -f4; }
if ! diff <(printf '%s\n' "$answer" | ids) <("$bin/standins/flamingousher-scan" "$catalogue" 10 "$query"); then
    echo "the results differ from the scan"
    exit 1
fi
echo "same results as the scan"

say "killing the second replicas and 40 of the first: coverage is stated"
kill "$pid_b" "$pid_a0"
sleep 1
answer=$(get 127.0.0.12 8080 "/slings?q=$query")
printf '%s\n' "$answer" | grep -o '"coverage":{"answered":[0-9]*,"asked":[0-9]*'
grep -q '"partial":true' <<< "$answer"
request=$(printf '%s\n' "$answer" | grep -o '"request_id":"[^"]*"' | cut -d'"' -f4)
ctl explain "$request" > "$work/explained"
head -12 "$work/explained"

say "an edit of a table, in force on every node"
sed -i 's/target_ms = 2000/target_ms = 1500/' "$work/tables/routes.ini"
revision=$(ctl "${ctl_platform[@]}" publish "$work/tables/routes.ini" "$work/tables/pools.ini" | grep -o '"revision":[0-9]*' | cut -d: -f2)
ctl --wait "$revision" config status

say "stopping everything"
for pid in "${daemon_pids[@]}"; do kill -TERM "$pid"; done
for pid in "${daemon_pids[@]}"; do wait "$pid"; done
echo "all daemons ended with status 0"
