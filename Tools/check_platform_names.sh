#!/usr/bin/env bash
# Fails if Source/, except for the tests of platform/, uses a name defined by the users' platform, or if platform/
# includes a header of Policy, Ledger or Dispatch, which make scheduling decisions.
set -euo pipefail
cd "$(dirname "$0")/.."
names='run-start|run-stop|kv-(key|range|watch|txn|lease|keep)|machine-(move|upkeep)|LAVENDERCART_BOOT|fencing_token|acked_through|expires_ms|op/config'
failed=0
if git grep -nE "$names" -- Source ':!Source/UnitTests/Platform'; then
    echo "platform-specific names are allowed only in platform/ and deploy/" >&2
    failed=1
fi
if git grep -nE '#include "(Policy|Ledger|Dispatch)/' -- platform; then
    echo "platform/ must not include headers of Policy, Ledger or Dispatch" >&2
    failed=1
fi
exit $failed
