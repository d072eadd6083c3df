#!/usr/bin/env bash
# Regenerates the tables of docs/SETTINGS.md and docs/RESULT_CODES.md from the
# output of the programs. Needs the release build.
set -euo pipefail
cd "$(dirname "$0")/.."
# Replaces the table rows of a page.
write() {
  local page=$1 table=$2
  sed -i '/^|/d' "$page"
  printf '%s\n' "$table" >> "$page"
}
write docs/SETTINGS.md "$(build/release/bin/hibiscusgladectl describe-settings)"
write docs/RESULT_CODES.md "$(build/release/bin/describe_result_codes)"
