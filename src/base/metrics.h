#ifndef HIBISCUSGLADE_BASE_METRICS_H_
#define HIBISCUSGLADE_BASE_METRICS_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace hibiscusglade {

/// Thread-safe counter.
class Counter {
 public:
  void Add(uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  uint64_t Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<uint64_t> value_{0};
};

/// Thread-safe histogram of latencies.
class LatencyHistogram {
 public:
  virtual ~LatencyHistogram() = default;

  /// @param latency measured latency; values outside 10 us to 100 s are counted
  /// in the outermost buckets.
  virtual void Record(Duration latency) = 0;

  /// @return the upper edge of the bucket that holds the quantile, in
  /// microseconds; 0 while the histogram is empty.
  /// @param quantile in (0, 1].
  virtual double QuantileMicros(double quantile) const = 0;

  /// @return the number of recorded values.
  virtual uint64_t Count() const = 0;
};

/// Registry of the process's counters and histograms.
class Metrics {
 public:
  virtual ~Metrics() = default;

  /// @param name metric name without the prefix "hibiscusglade_", such as
  /// "retries_total".
  /// @param labels label and value, such as code="5001"; may be empty.
  /// @return the counter, created at first use; the reference stays valid as
  /// long as the registry.
  virtual Counter& CounterOf(std::string_view name,
                             std::string_view labels) = 0;

  /// @return the histogram, created at first use; the reference stays valid as
  /// long as the registry.
  virtual LatencyHistogram& HistogramOf(std::string_view name,
                                        std::string_view labels) = 0;

  /// Sets a gauge to a value.
  virtual void SetGauge(std::string_view name, std::string_view labels,
                        double value) = 0;

  /// @return all metrics in the text exposition format of Prometheus.
  virtual std::string Exposition() const = 0;
};

/// @return an empty registry.
std::unique_ptr<Metrics> MakeMetrics();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_METRICS_H_
