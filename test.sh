#!/usr/bin/env bash
# Builds everything, checks format and style, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")"
exec mvn --batch-mode --no-transfer-progress verify
