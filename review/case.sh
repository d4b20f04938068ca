# Runs a case of the review. Sourced by its run.sh, not run.
# The caller sets: name (of the case in target/review/flamingousher-review) and trouble (0: without the disruption).

folder=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$folder/../.."
daemon=target/src/daemon/flamingousherd
review=target/review/flamingousher-review
if [ ! -x "$daemon" ] || [ ! -x "$review" ]; then
    echo "build first: the build of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
work=$(mktemp -d) || exit 2
child=
finish() {
    local process
    if [ -n "$child" ]; then
        kill "$child" 2>/dev/null
        wait "$child" 2>/dev/null
    fi
    # VMs that the stand-ins have left behind, if they were cut short.
    for process in $(cat "$work/processes" 2>/dev/null); do
        grep -qsF "$work" "/proc/$process/cmdline" && kill -KILL "$process" 2>/dev/null
    done
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout --kill-after=2 116 "$review" --name="$name" --daemon="$daemon" --folder="$work" --record="$folder/record.txt" \
    --slot="$$" --trouble="$([ "$trouble" = 0 ] && echo false || echo true)" &
child=$!
wait "$child"
status=$?
child=
[ "$status" -le 1 ] && exit "$status"
exit 2
