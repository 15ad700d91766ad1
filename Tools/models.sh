#!/usr/bin/env bash
# Checks every model in Models/, or those named on the command line, with spin. The unmodified model must have no error;
# each mutant, which lacks one guard, must produce a counterexample. The line "// mutants: A B" of a model lists its
# mutants; -DMUTANT_A selects mutant A. MODEL_JOBS sets the number of parallel runs.
set -euo pipefail
cd "$(dirname "$0")/.."
models=("$@")
[ ${#models[@]} -gt 0 ] || models=(Models/*.pml)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Checks one model or mutant, prints one result line and fails if the result is not the expected one.
check_one() {
    local model=$1 mutant=$2 folder
    folder=$(mktemp -d "$3/XXXXXX")
    local flags=()
    [ "$mutant" = none ] || flags=("-DMUTANT_$mutant")
    local path=$PWD/$model
    cd "$folder"
    spin "${flags[@]}" -a "$path" > spin.log 2>&1 || { cat spin.log; echo "FAILED  $model $mutant: spin"; return 1; }
    gcc -w -O2 -DSAFETY -DMEMLIM=4000 -o pan pan.c
    ./pan -m5000000 -n > pan.log 2>&1 || true
    local errors states
    errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
    states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' pan.log)
    local row="$model  $([ "$mutant" = none ] && echo unmodified || echo "mutant $mutant"): errors ${errors:-none printed}, states ${states:-?}"
    if grep -q -e 'max search depth' -e 'out of memory' -e 'memory limit' pan.log && [ "$mutant" = none ]; then
        echo "FAILED  $row; the search was incomplete"
        return 1
    fi
    if [ "$mutant" = none ] && [ "${errors:-}" = 0 ]; then echo "ok      $row"; return 0; fi
    if [ "$mutant" != none ] && [ "${errors:-0}" -gt 0 ]; then echo "ok      $row"; return 0; fi
    echo "FAILED  $row"
    return 1
}
export -f check_one

for model in "${models[@]}"; do
    echo "$model none"
    sed -n 's,^// mutants: *,,p' "$model" | tr ' ' '\n' | sed "/^$/d; s,^,$model ,"
done | xargs -P "${MODEL_JOBS:-3}" -L1 bash -c 'check_one "$1" "$2" "$0"' "$work"
echo "all models and mutants gave the expected result"
