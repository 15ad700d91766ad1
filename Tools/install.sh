#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linters need. Does nothing if all are installed.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
mapfile -t packages < "$here/packages.txt"
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
"${run[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
