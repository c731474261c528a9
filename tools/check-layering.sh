#!/usr/bin/env bash
# Fails if the core, which does no I/O, includes a transport, socket, thread or file header, reads a
# clock or uses a random device.
set -euo pipefail
cd "$(dirname "$0")/.."
core=(src/core include/jackdawvane)
forbidden='#include *<(boost/(asio|beast)|sys/|netinet/|arpa/|unistd|ctime|time\.h|thread|mutex|condition_variable|future|fstream|random_device|log4cplus|jsonrpccpp|docopt)'
reads='::now\(|std::random_device|std::time\('
if grep -rnE "$forbidden|$reads" "${core[@]}" --include='*.hpp' --include='*.cpp' |
    grep -v '^include/jackdawvane/adapters/'; then
    echo 'layering: the core must not do I/O; move the lines above to an adapter' >&2
    exit 1
fi
if grep -rn '#include "jackdawvane/adapters/' src/core; then
    echo 'layering: the core must not include an adapter' >&2
    exit 1
fi
echo 'layering: ok'
