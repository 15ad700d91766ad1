#!/usr/bin/env bash
# Stepwise relief under waves of interference. Baseline: the most harmful task is stopped at once.
set -euo pipefail
Tools/build.sh EvictionsScenario >/dev/null
exec "$BUILD_DIR/bin/EvictionsScenario"
