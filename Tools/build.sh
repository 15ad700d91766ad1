#!/usr/bin/env bash
# Configures and builds everything into build/ (or $BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja
cmake --build "$build" -- "$@"
