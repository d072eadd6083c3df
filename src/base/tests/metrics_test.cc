#include "base/metrics.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

class AMetricsRegistry : public testing::Test {
 protected:
  std::unique_ptr<Metrics> metrics_ = MakeMetrics();
};

TEST_F(AMetricsRegistry, WritesItsCountersInTheTextFormat) {
  metrics_->CounterOf("retries_total", "code=\"5001\"").Add(3);
  metrics_->CounterOf("retries_total", "code=\"5003\"").Add();
  metrics_->SetGauge("version_in_use", "", 7);
  EXPECT_EQ(metrics_->Exposition(),
            "# HELP hibiscusglade_retries_total Attempts after the first, by "
            "the refusal that led to them.\n"
            "# TYPE hibiscusglade_retries_total counter\n"
            "hibiscusglade_retries_total{code=\"5001\"} 3\n"
            "hibiscusglade_retries_total{code=\"5003\"} 1\n"
            "# HELP hibiscusglade_version_in_use Number of the version in "
            "use.\n"
            "# TYPE hibiscusglade_version_in_use gauge\n"
            "hibiscusglade_version_in_use 7\n");
}

TEST_F(AMetricsRegistry, GivesQuantilesWithinABucketOfTheTruth) {
  LatencyHistogram& histogram = metrics_->HistogramOf("call_seconds", "");
  for (int i = 1; i <= 100; ++i) histogram.Record(Duration(i * 1000));
  EXPECT_EQ(histogram.Count(), 100u);
  EXPECT_NEAR(histogram.QuantileMicros(0.5), 50000, 6000);
  EXPECT_NEAR(histogram.QuantileMicros(0.99), 99000, 12000);
}

TEST_F(AMetricsRegistry, KeepsValuesOutsideTheRangeInTheOutermostBuckets) {
  LatencyHistogram& histogram = metrics_->HistogramOf("call_seconds", "");
  histogram.Record(Duration(0));
  histogram.Record(std::chrono::hours(1));
  EXPECT_EQ(histogram.Count(), 2u);
  EXPECT_GE(histogram.QuantileMicros(1.0), 99e6);
}

}  // namespace
}  // namespace hibiscusglade
