#!/usr/bin/env bash
# Installs the dependencies, builds, starts a small fleet with stand-ins for its environment, edits
# the configuration, runs load while a primary is killed and a failure domain is cut off, and prints
# the measures.
set -euo pipefail
cd "$(dirname "$0")/.."
case "${1:-}" in
'') user=quetzal ;;
--kyushu) user=kyushu ;;
*)
    echo 'usage: tools/demo.sh [--kyushu]' >&2
    exit 1
    ;;
esac
echo '[1/3] dependencies'
tools/install-dependencies.sh
echo '[2/3] build'
cmake -S . -B build -G Ninja -DBUILD_TESTING=OFF >/dev/null
cmake --build build
echo '[3/3] demonstration'
exec python3 tools/demo.py --user "$user"
