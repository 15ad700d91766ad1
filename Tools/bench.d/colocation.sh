#!/usr/bin/env bash
# Previews beside batch jobs, against each alone and least loaded.
set -euo pipefail
Tools/build.sh ColocationScenario >/dev/null
exec "$BUILD_DIR/bin/ColocationScenario"
