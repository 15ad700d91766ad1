#!/usr/bin/env bash
# Formats all C++ sources. With --check, changes nothing, but reports the files that need formatting and fails if there
# are any.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run -Werror)
git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | xargs clang-format "${mode[@]}"
