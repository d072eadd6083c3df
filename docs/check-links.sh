#!/usr/bin/env bash
# Fails when a link in a page leads to a file or heading that does not exist.
set -euo pipefail
cd "$(dirname "$0")/.."
# Prints the anchors of the headings of a page.
anchors() {
  sed -n 's/^##* *//p' "$1" | tr '[:upper:]' '[:lower:]' | sed 's/[^a-z0-9 _-]//g; s/ /-/g'
}
faults=0
while IFS= read -r page; do
  while IFS= read -r target; do
    file=${target%%#*}
    case $target in http://* | https://*) continue ;; esac
    path=$page
    [ -z "$file" ] || path=$(dirname "$page")/$file
    if [ ! -e "$path" ]; then
      echo "$page: $target does not exist" >&2
      faults=$((faults + 1))
    elif [[ $target == *#* ]] && ! anchors "$path" | grep -xF -- "${target#*#}" > /dev/null; then
      echo "$page: $target has no such heading" >&2
      faults=$((faults + 1))
    fi
  done < <(sed 's/`[^`]*`//g' "$page" | grep -o '](\([^)]*\))' | sed 's/^](//; s/)$//')
done < <(git ls-files '*.md')
[ "$faults" = 0 ] && echo "every link resolves"
exit $((faults > 0))
