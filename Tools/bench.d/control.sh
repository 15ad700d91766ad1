#!/usr/bin/env bash
# Control overhead of a daemon at 50, 200 and 500 workers with 1, 4 and 12 tasks each, with real processes.
set -euo pipefail
Tools/build.sh lavendercartd lavendercart-worker-standin lavendercart-store-standin >/dev/null
exec python3 Tools/bench_control.py
