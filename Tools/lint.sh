#!/usr/bin/env bash
# Runs clang-tidy over all sources, or over the files named on the command line. Needs a configured build.
# A clean result is cached in the build folder under a hash of the file's content and a hash of all headers and
# .clang-tidy, so that unchanged files are not checked again.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
[ -f "$build/compile_commands.json" ] || cmake -S . -B "$build" -G Ninja >/dev/null
files=("$@")
[ ${#files[@]} -gt 0 ] || mapfile -t files < <(git ls-files --cached --others --exclude-standard 'Source/*.cpp' 'platform/*.cpp')
mkdir -p "$build/lint"
headers=$(git ls-files --cached --others --exclude-standard 'Source/*.h' 'platform/*.h' .clang-tidy | xargs cat | sha256sum | cut -c1-16)
check_one() {
    local stamp
    stamp="$2/lint/$(cat "$1" | sha256sum | cut -c1-16)-$3"
    [ -f "$stamp" ] && return 0
    if clang-tidy -p "$2" --quiet "$1" 2>/dev/null; then touch "$stamp"; else echo "lint: $1 is not clean"; return 1; fi
}
export -f check_one
printf '%s\n' "${files[@]}" | xargs -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'check_one "$@"' _ {} "$build" "$headers"
