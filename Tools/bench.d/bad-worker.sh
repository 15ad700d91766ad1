#!/usr/bin/env bash
# Workers that fail all they start, against outcomes not looked at.
set -euo pipefail
Tools/build.sh BadWorkerScenario >/dev/null
exec "$BUILD_DIR/bin/BadWorkerScenario"
