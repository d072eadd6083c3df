#!/usr/bin/env bash
# Regenerates the committed protobuf code from the .proto files. With --check,
# changes nothing and fails when the committed code is out of date.
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
