#!/usr/bin/env bash
# Checks every model with Spin. A model models/NAME.pml must hold. Each broken
# variant, listed in the model as "// broken: DEFINE injected fault", must give
# a counterexample. Usage: models/run.sh [NAME ...]
set -euo pipefail
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# Checks one variant; an empty DEFINE means the unmodified model. Prints
# "holds", "counterexample" or "incomplete".
check() {
  local name=$1 define=$2 dir=$work/$1-$2
  mkdir -p "$dir"
  cp ./*.pml "$dir"
  (
    cd "$dir"
    spin ${define:+-D"$define"} -a "$name.pml" > spin.log 2>&1 || { cat spin.log >&2; echo incomplete; exit; }
    gcc -O2 -DSAFETY -DCOLLAPSE -o pan pan.c 2> gcc.log || { cat gcc.log >&2; echo incomplete; exit; }
    ./pan -m100000 -w24 > pan.log 2>&1 || true
    if grep -q 'errors: 0' pan.log && ! grep -q -e 'max search depth too small' -e 'out of memory' pan.log; then
      echo holds
    elif grep -q 'errors: [1-9]' pan.log; then
      echo counterexample
    else
      tail -20 pan.log >&2
      echo incomplete
    fi
  )
}

expect() {
  local name=$1 define=$2 wanted=$3 seen
  seen=$(check "$name" "$define")
  printf '%s %s: %s (expected: %s)\n' "$name" "${define:-unmodified}" "$seen" "$wanted"
  [ "$seen" = "$wanted" ] || failed=1
}

names=("$@")
[ ${#names[@]} -gt 0 ] || names=($(ls ./*.pml | xargs -n1 basename | sed 's/\.pml$//'))
for name in "${names[@]}"; do
  expect "$name" "" holds
  while read -r define _; do
    expect "$name" "$define" counterexample
  done < <(sed -n 's|^// broken: ||p' "$name.pml")
done
exit $failed
