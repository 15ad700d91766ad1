#!/usr/bin/env bash
# Fails when a name of the users' platform stands outside platform/ and deploy/, or when platform/ includes what decides.
set -euo pipefail
cd "$(dirname "$0")/.."
names='run-start|run-stop|kv-(key|range|watch|txn|lease|keep)|machine-(move|upkeep)|LAVENDERCART_BOOT|fencing_token|acked_through|expires_ms|op/config'
failed=0
if git grep -nE "$names" -- Source ':!Source/UnitTests/Platform'; then
    echo "names of the platform outside platform/ and deploy/" >&2
    failed=1
fi
if git grep -nE '#include "(Policy|Ledger|Dispatch)/' -- platform; then
    echo "platform/ includes a part that decides" >&2
    failed=1
fi
exit $failed
