#!/usr/bin/env bash
# Builds every stand-in that the cases start, the project's own included, into
# build-review/. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B build-review -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build build-review --target play_case store_standin executor_standin \
  fault_proxy late_executor
