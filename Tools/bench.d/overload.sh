#!/usr/bin/env bash
# Twice the capacity from impatient callers, against a plain queue.
set -euo pipefail
Tools/build.sh OverloadScenario >/dev/null
exec "$BUILD_DIR/bin/OverloadScenario"
