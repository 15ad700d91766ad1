#!/usr/bin/env bash
# Requests that are cancelled soon after they are sent, next to normal ones. Baseline: a plain FIFO queue.
set -euo pipefail
Tools/build.sh CancelFloodScenario >/dev/null
exec "$BUILD_DIR/bin/CancelFloodScenario"
