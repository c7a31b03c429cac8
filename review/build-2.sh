#!/usr/bin/env bash
# Builds every stand-in that the scripts of review 2 start, into
# build-review-2/. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B build-review-2 -G Ninja \
  -DCMAKE_BUILD_TYPE=Release
cmake --build build-review-2 --target store_standin executor_standin \
  lasting_executor late_executor
