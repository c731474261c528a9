#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: jackdawvane-site and jackdawvane-link.
# jackdawvane-entry comes from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review -G Ninja -DBUILD_TESTING=OFF
cmake --build build-review --target jackdawvane-site jackdawvane-link
