#!/usr/bin/env bash
# SIGTERM to a daemon whose requests are at work at a server.
set -u
cd "$(dirname "$0")/../.."
[ -x target/bin/hibiscusgladed ] && [ -x target/review-2/cases ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 118 target/review-2/cases stop target/bin/hibiscusgladed "$folder" \
  review/8/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
