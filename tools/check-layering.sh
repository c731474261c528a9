#!/usr/bin/env bash
# The core does no I/O: fails when it includes a transport, socket or thread header or reads a clock.
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
