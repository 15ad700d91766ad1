#!/usr/bin/env bash
# Processor time of admission, routing and placement at 50, 510 and 5,100 workers.
set -euo pipefail
Tools/build.sh DecisionBenchmark >/dev/null
exec "$BUILD_DIR/bin/DecisionBenchmark"
