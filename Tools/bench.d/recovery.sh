#!/usr/bin/env bash
# A killed daemon, a paused one and a store that comes back, with real processes.
set -euo pipefail
Tools/build.sh lavendercartd lavendercart-worker-standin lavendercart-store-standin lavendercart-link-standin >/dev/null
exec python3 Tools/bench_recovery.py
