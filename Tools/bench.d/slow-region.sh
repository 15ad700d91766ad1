#!/usr/bin/env bash
# A remote region that stops answering, then turns slow. Baselines: routing by the most free capacity, and by a cost of
# aged latency and decaying failures.
set -euo pipefail
Tools/build.sh SlowRegionScenario >/dev/null
exec "$BUILD_DIR/bin/SlowRegionScenario"
