#!/usr/bin/env bash
# Builds the stand-ins that the cases' scripts start: target/review/standin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -Wall -Wextra -pthread -I. review/*.cc -o target/review/standin
