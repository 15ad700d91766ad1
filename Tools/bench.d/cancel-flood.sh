#!/usr/bin/env bash
# Requests given up right away beside normal ones, against a plain queue.
set -euo pipefail
Tools/build.sh CancelFloodScenario >/dev/null
exec "$BUILD_DIR/bin/CancelFloodScenario"
