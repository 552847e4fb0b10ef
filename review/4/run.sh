#!/bin/sh
# Restarted companions have forgotten a request that crashes upstreams. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp review/target/classes CrashingRequest "$PWD" "$PWD/review/4"
