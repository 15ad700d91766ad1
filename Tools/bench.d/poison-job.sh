#!/usr/bin/env bash
# Jobs that fail on every worker. Baseline: ejection of workers after consecutive failures.
set -euo pipefail
Tools/build.sh PoisonJobScenario >/dev/null
exec "$BUILD_DIR/bin/PoisonJobScenario"
