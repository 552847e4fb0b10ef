#!/usr/bin/env sh
# Regenerates deploy/companion.classlist from a run of the end-to-end tests of the platform module.
set -eu
cd "$(dirname "$0")/.."
list=$(mktemp)
mvn -q --batch-mode -pl platform -am test -Dtest='PlatformClusterTest*,GrantsByCallTest*,ConfigSpreadTest*' -Dsurefire.failIfNoSpecifiedTests=false \
    -DargLine="-XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:DumpLoadedClassList=$list"
grep -v '^#' "$list" \
    | grep -v 'junit\|surefire\|opentest\|truth\|jqwik\|Standin\|PlatformCluster\|java/net/http\|com/google/common' \
    | awk '!seen[$0]++' > deploy/companion.classlist
rm -f "$list"
