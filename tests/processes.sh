# Functions shared by the tests that run real processes. Sourced, not run.
# The caller sets: work (folder), known_red (file of accepted failures, may be empty), host_base (last octet before VM 1),
# platform (address:port of the platform), key (of the peers).

passed=0
failed=0

check() { # check DESCRIPTION COMMAND...
    local what=$1
    shift
    if "$@"; then
        passed=$((passed + 1))
        echo "ok: $what"
    elif [ -n "$known_red" ] && grep -qxF "check: $what" "$known_red"; then
        echo "KNOWN RED: $what (see KNOWN-RED.txt)"
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

address() { echo "127.0.0.$((host_base + $1))"; } # address VM

settings() { # settings VM ZONE: writes the VM's settings file
    cat > "$work/vm$1.ini" <<END
[node]
name = vm-$1
address = $(address "$1")
zone = $2
readiness_notice_ms = 500
[listen]
callers = $(address "$1"):8080
peers = $(address "$1"):8081
operators = $(address "$1"):8090
[platform]
configuration = $platform
vms = $platform
[peers]
key = $key
END
}

list_vms() { # list_vms COUNT: the platform's list of live VMs
    local vm
    for vm in $(seq "$1"); do printf '{"address":"%s:8081","state":"live"},' "$(address "$vm")"; done | sed 's/,$//; s/.*/[&]/'
}

is_ready() { http GET "$(address "$1"):8090" /ready 2>/dev/null | grep -q '^ready'; } # is_ready VM

wait_ready() { # wait_ready VM
    local try
    for try in $(seq 300); do is_ready "$1" && return 0; sleep 0.1; done
    return 1
}

finish_checks() {
    echo "$passed passed, $failed failed"
    [ "$failed" -eq 0 ]
}
