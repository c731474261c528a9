#!/usr/bin/env bash
# The stand-ins of the scripts are in Python and use its standard library only (3.11 or newer), so
# there is nothing to build; the daemon is built by the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys, asyncio, tomllib; compile(open("standins.py").read(), "standins.py", "exec")'
