#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, from review/11, into target/review-3. Needs a
# compiler for C++20 and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/11/*.cc; do
  g++ -std=c++20 -O2 -Wall -pthread -o "target/review-3/$(basename "$source" .cc)" "$source"
done
