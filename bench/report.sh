#!/usr/bin/env bash
# Runs the benchmarks and their baselines one after the other. Writes each table
# to bench/report/, a bar chart of one of its columns to bench/plots/, and all of
# them to bench/report.md.
# Usage: bench/report.sh [NAME ...]
# Runs all benchmarks by default. "none" runs no benchmark and only draws the
# charts again. The tables of benchmarks that are not run are kept.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release > /dev/null
cmake --build --preset release > /dev/null
mkdir -p bench/report bench/plots

# Prints one line per benchmark: name, table columns that label the chart's bars,
# table column with the bars' values, chart title, command. A benchmark without a
# value column has no chart.
benchmarks() {
  cat <<'LIST'
path_latency|1|7|added p99 in us, by calls/s|path_latency_bench
control_cost|1|2|% of a core of an idle daemon, by daemons|control_cost_bench
choice|2,3,4|6|p99 in ms, by choice, ejection, slowed upstreams|choice_bench --pairs 2
blocking|2|4|p99 in ms of short calls beside archives|blocking_bench
crest|2|3|on time in % of the possible|crest_bench
amplification|2|4|attempts per call in an outage|amplification_bench
claims|1|4|median in ms|claims_bench --rounds 2
proposals|||no chart|proposals_bench
state_size|||no chart|state_size_bench --benchmark_repetitions=3 --benchmark_report_aggregates_only=true
LIST
}

# Reads a markdown table and prints an SVG chart with one bar per row.
# Arguments: label columns, value column, title.
plot() {
  awk -F'|' -v labels="$1" -v column="$2" -v title="$3" '
    /^\|/ && !/^\|-/ && $2 !~ /^ *$/ && rows++ > 0 {
      value = $(column + 1); gsub(/[^0-9.\/]/, "", value); sub(/\/.*/, "", value)
      if (value == "") next
      n++
      value_of[n] = value + 0
      if (value_of[n] > largest) largest = value_of[n]
      label_count = split(labels, label_column, ",")
      for (i = 1; i <= label_count; i++) label[n] = label[n] $(label_column[i] + 1)
    }
    END {
      if (n == 0) exit
      printf "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"720\" height=\"%d\" font-family=\"sans-serif\" font-size=\"13\">\n", 40 + 24 * n
      printf "<text x=\"8\" y=\"20\">%s</text>\n", title
      for (i = 1; i <= n; i++) {
        y = 32 + 24 * (i - 1)
        width = largest > 0 ? 380 * value_of[i] / largest : 0
        printf "<text x=\"8\" y=\"%d\">%s</text><rect x=\"250\" y=\"%d\" width=\"%.1f\" height=\"16\" fill=\"#4477aa\"/><text x=\"%.1f\" y=\"%d\">%g</text>\n", y + 13, label[i], y, width, 256 + width, y + 13, value_of[i]
      }
      print "</svg>"
    }'
}

selected=" $* "
while IFS='|' read -r name labels column title command; do
  [ "$selected" = "  " ] || [[ $selected == *" $name "* ]] || continue
  echo "running $command" >&2
  {
    echo "## $name"
    echo
    echo "Commit $(git rev-parse --short HEAD), $(date -u +%F), $(nproc) cores: \`build/release/bin/$command\`"
    echo
    # shellcheck disable=SC2086
    build/release/bin/$command 2>&1 || echo "The run failed with status $?."
    echo
  } > "bench/report/$name.md"
done < <(benchmarks)

while IFS='|' read -r name labels column title _; do
  [ -n "$column" ] && [ -f "bench/report/$name.md" ] || continue
  plot "$labels" "$column" "$title" < "bench/report/$name.md" > "bench/plots/$name.svg"
done < <(benchmarks)

{
  echo "# Measurements"
  echo
  echo "Written by \`bench/report.sh\`. Each table names the commit and command of its run."
  echo
  while IFS='|' read -r name _; do
    [ -f "bench/report/$name.md" ] || continue
    cat "bench/report/$name.md"
    [ ! -f "bench/plots/$name.svg" ] || printf '![%s](plots/%s.svg)\n\n' "$name" "$name"
  done < <(benchmarks)
} > bench/report.md
