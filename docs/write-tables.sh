#!/usr/bin/env bash
# Writes the tables of docs/SETTINGS.md and docs/RESULT_CODES.md anew, from
# what the programs say of themselves.
set -euo pipefail
cd "$(dirname "$0")/.."
write() {
  local page=$1 table=$2
  sed -i '/^|/d' "$page"
  printf '%s\n' "$table" >> "$page"
}
write docs/SETTINGS.md "$(build/release/bin/hibiscusgladectl describe-settings)"
write docs/RESULT_CODES.md "$(build/release/bin/describe_result_codes)"
