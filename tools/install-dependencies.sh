#!/usr/bin/env bash
# Installs every Debian package that the build, the tests and the linters need.
set -euo pipefail
packages=(g++ cmake ninja-build pkg-config clang-format clang-tidy
    libboost-dev libjsonrpccpp-dev libdocopt-dev liblog4cplus-dev libgtest-dev libssl-dev
    libxxhash-dev zlib1g-dev python3 ccache)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
        missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -q
    apt-get install -y -q "${missing[@]}"
fi
