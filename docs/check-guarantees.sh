#!/usr/bin/env bash
# Fails when a command in the proof column of docs/GUARANTEES.md names a test,
# script or program that does not exist. Needs the release build.
set -euo pipefail
cd "$(dirname "$0")/.."
page=${1:-docs/GUARANTEES.md}
tests=$(ctest --preset release -N | sed -n 's/^ *Test *#[0-9]*: //p')
faults=0
fault() { echo "$page: $*" >&2; faults=$((faults + 1)); }

# Checks one command. Skips environment variables set in front of it.
check_command() {
  local command=$1 word program pattern=""
  local -a words
  read -ra words <<< "$command"
  while [[ ${words[0]:-} == *=* ]]; do words=("${words[@]:1}"); done
  program=${words[0]:-}
  if [ "$program" = ctest ]; then
    for ((i = 1; i < ${#words[@]}; i++)); do
      [ "${words[i]}" = -R ] && pattern=${words[i + 1]:-}
    done
    pattern=${pattern//[\'\"]/}
    [ -n "$pattern" ] || { fault "\"$command\" names no tests with -R"; return; }
    grep -qE -- "$pattern" <<< "$tests" || fault "\"$command\" matches no test"
    return
  fi
  [ -x "$program" ] && [ -f "$program" ] || { fault "\"$program\" is not a program or script"; return; }
  for word in "${words[@]:1}"; do
    case $word in
      --gtest_filter=*) check_filter "$program" "${word#*=}" ;;
    esac
  done
  if [ "$program" = models/run.sh ] && [ -n "${words[1]:-}" ]; then
    [ -f "models/${words[1]}.pml" ] || fault "models/${words[1]}.pml does not exist"
  fi
}

# Checks that a gtest filter matches at least one test of a program.
check_filter() {
  "$1" --gtest_list_tests "--gtest_filter=${2//[\'\"]/}" | grep '^  ' > /dev/null || fault "$1 has no test $2"
}

rows=0
while IFS= read -r line; do
  # The proof is the third column; "|" inside backticks is written as \|.
  proof=$(sed 's/\\|/\x01/g' <<< "$line" | cut -d'|' -f4 | tr '\001' '|')
  case $proof in *" proof and command "* | ---*) continue ;; esac
  rows=$((rows + 1))
  while IFS= read -r command; do check_command "$command"; done < <(grep -o '`[^`]*`' <<< "$proof" | tr -d '`')
done < <(grep '^|' "$page")
[ "$faults" = 0 ] && echo "$rows rows: every command exists"
exit $((faults > 0))
