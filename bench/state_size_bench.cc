// Time and memory of one daemon's state at the largest mesh it is designed for:
// 2,700 records and 230 services with one route each.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/settings_reader.h"
#include "routing/types/route_table.h"
#include "settings/daemon_settings.h"
#include "versions/config_reader.h"
#include "versions/document_editor.h"

namespace {

std::atomic<size_t> allocated_bytes{0};

}  // namespace

// Counts every allocation, because the statistics of the C library include
// freed blocks that it keeps for reuse.
void* operator new(size_t size) {
  void* block = std::malloc(size);
  if (block == nullptr) throw std::bad_alloc();
  allocated_bytes += malloc_usable_size(block);
  return block;
}
void operator delete(void* block) noexcept {
  allocated_bytes -= malloc_usable_size(block);
  std::free(block);
}
void operator delete(void* block, size_t) noexcept { operator delete(block); }

namespace hibiscusglade {
namespace {

using nlohmann::json;

constexpr int kInstances = 2700;
constexpr int kServices = 230;
constexpr int kFailureDomains = 12;

std::string ServiceName(int i) { return "service-" + std::to_string(i); }

std::string DocumentText(int services) {
  json document = {{"services", json::object()},
                   {"classes", {{"short", {{"max_wait_ms", 1000}}}}},
                   {"routes", json::object()}};
  for (int i = 0; i < services; ++i) {
    const std::string name = ServiceName(i);
    document["services"][name] = {{"max_queue", 64}};
    document["routes"][name] = {{"path_prefix", "/" + name + "/"},
                                {"service", name},
                                {"class", "short"},
                                {"repeatable", true}};
  }
  return document.dump();
}

ConfigVersionPtr Version(int services) {
  std::vector<SettingsFault> faults;
  return MakeConfigVersion(1, 0, DocumentText(services), "[]", faults);
}

std::vector<InstanceRecord> Records(int instances, int services) {
  std::vector<InstanceRecord> records;
  for (int i = 0; i < instances; ++i) {
    InstanceRecord record;
    record.instance = "instance-" + std::to_string(i);
    record.failure_domain = "domain-" + std::to_string(i % kFailureDomains);
    record.control_address = "10.0." + std::to_string(i / 250) + "." +
                             std::to_string(i % 250) + ":7001";
    record.request_address = record.control_address;
    record.service = ServiceName(i % services);
    record.slots = 6;
    record.upstream_state = UpstreamState::kServing;
    records.push_back(std::move(record));
  }
  return records;
}

size_t AllocatedBytes() { return allocated_bytes; }

void ReportBytes(benchmark::State& state, size_t before, size_t after) {
  state.counters["bytes"] = static_cast<double>(after - before);
}

void RecordsHeld(benchmark::State& state) {
  for (auto _ : state) {
    const size_t before = AllocatedBytes();
    const auto records = Records(static_cast<int>(state.range(0)), kServices);
    ReportBytes(state, before, AllocatedBytes());
  }
}
BENCHMARK(RecordsHeld)->Arg(225)->Arg(kInstances);

void RecordsCopied(benchmark::State& state) {
  const auto records = Records(static_cast<int>(state.range(0)), kServices);
  for (auto _ : state) {
    auto copy = records;
    benchmark::DoNotOptimize(copy);
  }
}
BENCHMARK(RecordsCopied)->Arg(225)->Arg(kInstances);

void RouteTableBuild(benchmark::State& state) {
  const auto version = Version(kServices);
  const auto records = Records(static_cast<int>(state.range(0)), kServices);
  for (auto _ : state) {
    const size_t before = AllocatedBytes();
    const RouteTable table(version, records);
    ReportBytes(state, before, AllocatedBytes());
  }
}
BENCHMARK(RouteTableBuild)->Arg(225)->Arg(kInstances);

void RouteTableMatch(benchmark::State& state) {
  const int services = static_cast<int>(state.range(0));
  const RouteTable table(Version(services), Records(kInstances, services));
  const std::string target = "/" + ServiceName(services / 2) + "/7";
  for (auto _ : state) {
    benchmark::DoNotOptimize(table.Match("any.example", "GET", target));
  }
}
BENCHMARK(RouteTableMatch)->Arg(3)->Arg(kServices);

void VersionParse(benchmark::State& state) {
  const std::string text = DocumentText(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    std::vector<SettingsFault> faults;
    const size_t before = AllocatedBytes();
    const auto version = MakeConfigVersion(1, 0, text, "[]", faults);
    ReportBytes(state, before, AllocatedBytes());
  }
}
BENCHMARK(VersionParse)->Arg(3)->Arg(kServices);

void PatchApply(benchmark::State& state) {
  const std::string text = DocumentText(static_cast<int>(state.range(0)));
  constexpr char kPatch[] =
      R"([{"op":"replace","path":"/services/service-1/max_queue","value":9}])";
  for (auto _ : state) {
    std::vector<SettingsFault> faults;
    benchmark::DoNotOptimize(ApplyPatch(text, kPatch, faults));
  }
}
BENCHMARK(PatchApply)->Arg(3)->Arg(kServices);

void EditorHeld(benchmark::State& state) {
  const auto version = Version(static_cast<int>(state.range(0)));
  for (auto _ : state) {
    const size_t before = AllocatedBytes();
    const DocumentEditor editor(version);
    ReportBytes(state, before, AllocatedBytes());
  }
}
BENCHMARK(EditorHeld)->Arg(3)->Arg(kServices);

void EditorApply(benchmark::State& state) {
  DocumentEditor editor(Version(static_cast<int>(state.range(0))));
  uint64_t number = 1;
  for (auto _ : state) {
    std::vector<SettingsFault> faults;
    const std::string patch =
        R"([{"op":"replace","path":"/services/service-1/max_queue","value":)" +
        std::to_string(number % 100) + "}]";
    editor.Apply(patch, faults);
    benchmark::DoNotOptimize(editor.Build(number + 1, number, patch, faults));
    ++number;
  }
}
BENCHMARK(EditorApply)->Arg(3)->Arg(kServices);

void CounterByName(benchmark::State& state) {
  const auto metrics = MakeMetrics();
  for (auto _ : state)
    metrics->CounterOf("retries_total", "code=\"5001\"").Add();
}
BENCHMARK(CounterByName);

void CounterByHandle(benchmark::State& state) {
  const auto metrics = MakeMetrics();
  Counter& counter = metrics->CounterOf("retries_total", "code=\"5001\"");
  for (auto _ : state) counter.Add();
}
BENCHMARK(CounterByHandle);

void HistogramRecord(benchmark::State& state) {
  const auto metrics = MakeMetrics();
  LatencyHistogram& histogram = metrics->HistogramOf("call_seconds", "");
  for (auto _ : state) histogram.Record(std::chrono::microseconds(1900));
}
BENCHMARK(HistogramRecord);

}  // namespace
}  // namespace hibiscusglade

BENCHMARK_MAIN();
