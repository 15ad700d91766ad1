#!/usr/bin/env bash
# Jobs that fail everywhere, against ejection by failures in a row.
set -euo pipefail
Tools/build.sh PoisonJobScenario >/dev/null
exec "$BUILD_DIR/bin/PoisonJobScenario"
