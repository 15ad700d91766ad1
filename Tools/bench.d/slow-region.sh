#!/usr/bin/env bash
# A region that turns silent and slow, against the most room and a cost of aged latency.
set -euo pipefail
Tools/build.sh SlowRegionScenario >/dev/null
exec "$BUILD_DIR/bin/SlowRegionScenario"
