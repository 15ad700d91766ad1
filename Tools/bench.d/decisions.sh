#!/usr/bin/env bash
# CPU time of admission, routing and placement decisions at 50, 510 and 5,100 workers.
set -euo pipefail
Tools/build.sh DecisionBenchmark >/dev/null
exec "$BUILD_DIR/bin/DecisionBenchmark"
