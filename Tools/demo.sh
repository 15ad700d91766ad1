#!/usr/bin/env bash
# Installs missing packages, builds, starts a small fleet on loopback, runs requests and jobs through it, kills a
# daemon, and prints the outcomes and the merged timeline. Exits 0 only if every request and job ended as guaranteed.
set -euo pipefail
cd "$(dirname "$0")/.."
Tools/install.sh
Tools/build.sh
exec python3 Tools/demo.py "$@"
