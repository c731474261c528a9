#!/usr/bin/env bash
# Checks format, layering and file sizes and, with --tidy, runs the linter, which needs a
# configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.hpp' '*.cpp')
clang-format --dry-run --Werror "${files[@]}"
echo "format: ok (${#files[@]} files)"
tools/check-layering.sh
long=$(wc -l "${files[@]}" | awk '$2 != "total" && $1 > 500 {print $2 " has " $1 " lines"}')
if [ -n "$long" ]; then
    echo "$long" >&2
    echo 'size: split files of more than 500 lines' >&2
    exit 1
fi
if [ "${1:-}" = --tidy ]; then
    printf '%s\n' "${files[@]}" | grep -E '^(src|platform)/.*\.cpp$' |
        xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet 2>/dev/null
    echo 'lint: ok'
fi
