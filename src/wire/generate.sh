#!/usr/bin/env bash
# Writes the committed protobuf code anew; --check fails when it differs.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${1:-}" = --check ]; then
  out=$(mktemp -d)
  trap 'rm -rf "$out"' EXIT
  protoc --cpp_out="$out" wire/peer.proto wire/storage.proto
  for file in peer storage; do
    cmp "$out/wire/$file.pb.h" "wire/$file.pb.h"
    cmp "$out/wire/$file.pb.cc" "wire/$file.pb.cc"
  done
else
  protoc --cpp_out=. wire/peer.proto wire/storage.proto
fi
