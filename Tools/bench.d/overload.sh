#!/usr/bin/env bash
# Twice the capacity from callers that give up early and retry at once. Baseline: a plain FIFO queue.
set -euo pipefail
Tools/build.sh OverloadScenario >/dev/null
exec "$BUILD_DIR/bin/OverloadScenario"
