#!/usr/bin/env bash
# Previews colocated with batch jobs. Baselines: each of them alone, and least-loaded placement.
set -euo pipefail
Tools/build.sh ColocationScenario >/dev/null
exec "$BUILD_DIR/bin/ColocationScenario"
