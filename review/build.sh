#!/bin/sh
# Builds the stand-ins of the scripts into review/target. Needs a JDK only.
set -eu
cd "$(dirname "$0")"
mkdir -p target/classes
javac -d target/classes standins/*.java
