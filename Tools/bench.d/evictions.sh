#!/usr/bin/env bash
# Relief under noisy waves, against stopping first.
set -euo pipefail
Tools/build.sh EvictionsScenario >/dev/null
exec "$BUILD_DIR/bin/EvictionsScenario"
