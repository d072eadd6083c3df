#ifndef HIBISCUSGLADE_BASE_METRIC_CATALOG_H_
#define HIBISCUSGLADE_BASE_METRIC_CATALOG_H_

#include <string>
#include <string_view>

namespace hibiscusglade {

/// Description of one metric.
struct MetricInfo {
  std::string_view name;    ///< Without the prefix "hibiscusglade_".
  std::string_view type;    ///< "counter", "gauge" or "summary".
  std::string_view labels;  ///< Name of its label; may be empty.
  std::string_view help;
  std::string_view action;  ///< What an operator does when the value changes.
};

/// @return the metric's description; nullptr when the catalog has none.
const MetricInfo* FindMetric(std::string_view name);

/// @return the table of all metrics for docs/OPERATIONS.md, in Markdown.
std::string DescribeMetrics();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_METRIC_CATALOG_H_
