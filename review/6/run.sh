#!/usr/bin/env bash
# A core machine is replaced as planned, then another one loses its disk.
set -u
cd "$(dirname "$0")/../.."
[ -x target/bin/hibiscusgladed ] && [ -x target/review-2/cases ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 118 target/review-2/cases replaced-core target/bin/hibiscusgladed "$folder" review/6/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
