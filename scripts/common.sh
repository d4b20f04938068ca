# Functions shared by the scripts. Sourced, not run.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)

install_packages() {
    local missing=()
    local package
    while read -r package; do
        dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
    done < "$root/scripts/packages.txt"
    [ ${#missing[@]} -eq 0 ] && return
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
}

build() {
    cd "$root"
    cmake --preset "$1" >/dev/null
    cmake --build --preset "$1"
}
