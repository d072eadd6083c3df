#!/usr/bin/env bash
# Builds and runs all tests: unit tests, golden sessions, models and failure
# tests with real processes. Tests listed in KNOWN-RED.txt are left out.
set -euo pipefail
cd "$(dirname "$0")/.."
.ci/require-packages build test
cmake --preset release > /dev/null
cmake --build --preset release
# KNOWN-RED.txt names each of them in a line "test: NAME".
known_red=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd'|' -)
ctest --preset release -j 4 ${known_red:+-E "^($known_red)\$"}
