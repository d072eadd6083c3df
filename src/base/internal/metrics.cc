#include "base/metrics.h"

#include <boost/histogram.hpp>
#include <cmath>
#include <map>
#include <mutex>
#include <sstream>
#include <utility>

#include "base/metric_catalog.h"

namespace hibiscusglade {
namespace {

namespace bh = boost::histogram;

constexpr int kBuckets = 140;
constexpr double kLowestMicros = 10.0;
constexpr double kHighestMicros = 100e6;

class BoostLatencyHistogram : public LatencyHistogram {
 public:
  BoostLatencyHistogram()
      : histogram_(bh::make_histogram_with(
            Storage(), Axis(kBuckets, kLowestMicros, kHighestMicros))) {}

  void Record(Duration latency) override {
    histogram_(static_cast<double>(latency.count()));
    sum_micros_.fetch_add(latency.count(), std::memory_order_relaxed);
  }

  double QuantileMicros(double quantile) const override {
    uint64_t total = Count();
    if (total == 0) return 0;
    auto rank =
        static_cast<uint64_t>(std::ceil(quantile * static_cast<double>(total)));
    uint64_t cumulative = 0;
    for (int i = -1; i <= kBuckets; ++i) {
      cumulative += histogram_.at(i).load();
      if (cumulative >= rank) return UpperEdge(i);
    }
    return kHighestMicros;
  }

  uint64_t Count() const override {
    uint64_t total = 0;
    for (auto&& cell : bh::indexed(histogram_, bh::coverage::all)) {
      total += cell->load();
    }
    return total;
  }

  void Expose(std::ostream& out, const std::string& name,
              const std::string& labels) const {
    const std::string separator = labels.empty() ? "" : ",";
    for (double quantile : {0.5, 0.99, 0.999}) {
      out << name << "{" << labels << separator << "quantile=\"" << quantile
          << "\"} " << QuantileMicros(quantile) * 1e-6 << "\n";
    }
    const std::string label_set = labels.empty() ? "" : "{" + labels + "}";
    out << name << "_count" << label_set << " " << Count() << "\n";
    out << name << "_sum" << label_set << " "
        << static_cast<double>(sum_micros_.load()) * 1e-6 << "\n";
  }

 private:
  using Storage = bh::dense_storage<bh::accumulators::thread_safe<uint64_t>>;
  using Axis = bh::axis::regular<double, bh::axis::transform::log>;

  double UpperEdge(int bucket) const {
    if (bucket < 0) return kLowestMicros;
    return histogram_.axis(0).bin(std::min(bucket, kBuckets - 1)).upper();
  }

  bh::histogram<std::tuple<Axis>, Storage> histogram_;
  std::atomic<int64_t> sum_micros_{0};
};

using MetricKey = std::pair<std::string, std::string>;

constexpr std::string_view kPrefix = "hibiscusglade_";

MetricKey KeyOf(std::string_view name, std::string_view labels) {
  return {std::string(kPrefix) + std::string(name), std::string(labels)};
}

class MetricsRegistry : public Metrics {
 public:
  Counter& CounterOf(std::string_view name, std::string_view labels) override {
    std::lock_guard<std::mutex> lock(mutex_);
    return counters_[KeyOf(name, labels)];
  }

  LatencyHistogram& HistogramOf(std::string_view name,
                                std::string_view labels) override {
    std::lock_guard<std::mutex> lock(mutex_);
    return histograms_[KeyOf(name, labels)];
  }

  void SetGauge(std::string_view name, std::string_view labels,
                double value) override {
    std::lock_guard<std::mutex> lock(mutex_);
    gauges_[KeyOf(name, labels)] = value;
  }

  std::string Exposition() const override {
    std::lock_guard<std::mutex> lock(mutex_);
    std::ostringstream out;
    out.precision(9);
    std::string described;
    for (const auto& [key, counter] : counters_) {
      WriteDescription(out, key.first, "counter", described);
      WriteSample(out, key, static_cast<double>(counter.Value()));
    }
    for (const auto& [key, value] : gauges_) {
      WriteDescription(out, key.first, "gauge", described);
      WriteSample(out, key, value);
    }
    for (const auto& [key, histogram] : histograms_) {
      WriteDescription(out, key.first, "summary", described);
      histogram.Expose(out, key.first, key.second);
    }
    return out.str();
  }

 private:
  /// Writes the HELP and TYPE lines of a metric, once before all its samples.
  /// @param described name of the metric that was described last.
  static void WriteDescription(std::ostream& out, const std::string& name,
                               std::string_view type, std::string& described) {
    if (name == described) return;
    described = name;
    const MetricInfo* info =
        FindMetric(std::string_view(name).substr(kPrefix.size()));
    if (info != nullptr) out << "# HELP " << name << " " << info->help << "\n";
    out << "# TYPE " << name << " " << type << "\n";
  }

  static void WriteSample(std::ostream& out, const MetricKey& key,
                          double value) {
    out << key.first;
    if (!key.second.empty()) out << "{" << key.second << "}";
    out << " " << value << "\n";
  }

  mutable std::mutex mutex_;
  std::map<MetricKey, Counter> counters_;
  std::map<MetricKey, double> gauges_;
  std::map<MetricKey, BoostLatencyHistogram> histograms_;
};

}  // namespace

std::unique_ptr<Metrics> MakeMetrics() {
  return std::make_unique<MetricsRegistry>();
}

}  // namespace hibiscusglade
