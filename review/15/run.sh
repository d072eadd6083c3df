#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 does the same without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
driver=target/review-3/lowered_limit
[ -x target/bin/hibiscusgladed ] && [ -x "$driver" ] || exit 2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
timeout -s KILL 110 "$driver" target/bin/hibiscusgladed "$work" "$here/record.txt" "${TROUBLE:-1}"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
