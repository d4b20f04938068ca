#!/usr/bin/env bash
# Writes routes.ini and pools.ini of an example deployment into a folder.
# usage: make-tables.sh FOLDER SHARDS REPLICAS FIRST_PORT [ADDRESS]
# Replica r of shard s listens on FIRST_PORT + r * SHARDS + s; three ledger searchers follow.
set -euo pipefail
folder=$1 shards=$2 replicas=$3 port=$4 address=${5:-127.0.0.1}
mkdir -p "$folder"
cat > "$folder/routes.ini" <<END
[route find-slings]
method = GET
path = /slings
pool = catalogue
rank = urgent
target_ms = 1000
share = 0.5

[route volunteer-console]
method = GET
path = /console
pool = catalogue
rank = normal
target_ms = 2000
share = 0.2

[route condition-reports]
method = GET
path = /reports
pool = catalogue
rank = background
target_ms = 600000
share = 0.1

[route reserve]
method = POST
path = /reservations
pool = ledger
rank = urgent
target_ms = 2000
idempotent = no
END
{
    printf '[pool catalogue]\nkind = search\nshards = %d\n\n[pool ledger]\nkind = service\n' "$shards"
    for ((replica = 0; replica < replicas; ++replica)); do
        for ((shard = 0; shard < shards; ++shard)); do
            printf '\n[upstream catalogue-%d-%d]\npool = catalogue\naddress = %s\nport = %d\nshard = %d\nzone = %s\nslots = 3\nconnections = 30\n' \
                "$shard" "$replica" "$address" $((port + replica * shards + shard)) "$shard" "$(printf '%b' "\\x$((61 + replica % 3))")"
        done
    done
    for ((index = 0; index < 3; ++index)); do
        printf '\n[upstream ledger-%d]\npool = ledger\naddress = %s\nport = %d\nzone = a\nslots = 6\nconnections = 110\n' \
            "$index" "$address" $((port + replicas * shards + index))
    done
} > "$folder/pools.ini"
