#!/usr/bin/env bash
# The same load sent directly to workers and through a daemon, with real processes.
set -euo pipefail
Tools/build.sh lavendercartd lavendercart-load lavendercart-worker-standin lavendercart-store-standin >/dev/null
exec python3 Tools/bench_path.py
