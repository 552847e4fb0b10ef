#!/bin/sh
# A restarted companion takes a late heartbeat of an upstream that has left. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp review/target/classes LateHeartbeat "$PWD" "$PWD/review/3"
