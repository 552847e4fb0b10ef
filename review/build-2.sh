#!/usr/bin/env sh
# Builds the stand-ins of the cases 6 to 10 with the JDK alone, into target/review-2. Runs after build/platform.sh.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/standins-2/*.java
