#!/usr/bin/env bash
# Builds what the cases of the third review start, beside the programs of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-3 -B build-review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build build-review-3
