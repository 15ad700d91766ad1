#!/usr/bin/env bash
# Installs what is missing, builds, starts a small fleet on loopback, runs requests and jobs through it, kills a daemon,
# and prints every outcome and the merged time line. Exits 0 only if everything ended as promised.
set -euo pipefail
cd "$(dirname "$0")/.."
Tools/install.sh
Tools/build.sh
exec python3 Tools/demo.py "$@"
