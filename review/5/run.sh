#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit status: 1 the rule was broken, 0 it held,
# 2 the case could not run. With TROUBLE=0 there is no disturbance.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/bin/hibiscusgladed ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review/standin forgotten_leave target/bin/hibiscusgladed "$folder" review/5/record.txt
