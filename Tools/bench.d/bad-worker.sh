#!/usr/bin/env bash
# Workers that fail every task they start. Baseline: outcomes are ignored.
set -euo pipefail
Tools/build.sh BadWorkerScenario >/dev/null
exec "$BUILD_DIR/bin/BadWorkerScenario"
