#!/usr/bin/env bash
# Recovery from a killed daemon, a paused daemon and a store outage, with real processes.
set -euo pipefail
Tools/build.sh lavendercartd lavendercart-worker-standin lavendercart-store-standin lavendercart-link-standin >/dev/null
exec python3 Tools/bench_recovery.py
