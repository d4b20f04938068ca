#!/usr/bin/env bash
# Builds the stand-ins and the runner of the third review's cases. Needs only the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O2 -Wall -Wextra -pthread -o target/review-3/cases review/third/*.cpp
