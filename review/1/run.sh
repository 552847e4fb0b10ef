#!/bin/sh
# One odd heartbeat of another writer gives keys to a second holder. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp review/target/classes OddHeartbeat "$PWD" "$PWD/review/1"
