#ifndef HIBISCUSGLADE_BASE_METRIC_CATALOG_H_
#define HIBISCUSGLADE_BASE_METRIC_CATALOG_H_

#include <string>
#include <string_view>

namespace hibiscusglade {

/// What one metric says.
struct MetricInfo {
  std::string_view name;  ///< Without the project's prefix.
  std::string_view type;  ///< "counter", "gauge" or "summary".
  std::string_view labels;
  std::string_view help;
  std::string_view action;  ///< What an operator does when it moves.
};

/// @return the metric's description; nullptr when it has none.
const MetricInfo* FindMetric(std::string_view name);

/// @return the table of all metrics for docs/OPERATIONS.md.
std::string DescribeMetrics();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_METRIC_CATALOG_H_
