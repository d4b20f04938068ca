#!/usr/bin/env bash
# Installs packages, builds and runs all tests.
set -euo pipefail
source "$(dirname "$0")/common.sh"
install_packages
build release
ctest --preset release --timeout 300
