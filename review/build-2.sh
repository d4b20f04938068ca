#!/usr/bin/env bash
# Builds the program that plays the cases 6 to 10, with its stand-ins. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/second -B target/review-second -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-second --target flamingousher-review-second
