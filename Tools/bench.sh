#!/usr/bin/env bash
# Runs the benchmarks named on the command line, or all of them. Each is a script in Tools/bench.d that prints its
# figures next to their bounds and fails if a bound is missed. The last lines give one result per benchmark.
set -uo pipefail
cd "$(dirname "$0")/.."
export BUILD_DIR=${BUILD_DIR:-build}
names=("$@")
[ ${#names[@]} -gt 0 ] || mapfile -t names < <(cd Tools/bench.d && ls -- *.sh | sed 's/\.sh$//')
failed=0
results=()
for name in "${names[@]}"; do
    script="Tools/bench.d/$name.sh"
    if [ ! -f "$script" ]; then
        results+=("$name: unknown benchmark")
        failed=1
        continue
    fi
    if bash "$script"; then
        results+=("$name: bounds met")
    else
        results+=("$name: MISSED")
        failed=1
    fi
done
printf '%s\n' "${results[@]}"
exit "$failed"
