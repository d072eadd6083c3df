// Time and memory that customers cost a daemon: 3,000 with 8 keys each, and 75
// with 2.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/key_digest.h"
#include "customers/key_check.h"
#include "routing/types/route_table.h"
#include "versions/config_reader.h"
#include "versions/document_editor.h"

namespace hibiscusglade {
namespace {

using nlohmann::json;

std::string KeyOf(int64_t customer, int64_t key) {
  return "key-of-" + std::to_string(customer) + "-number-" +
         std::to_string(key);
}

json CustomerOf(int64_t customer, int64_t keys) {
  json digests = json::array();
  for (int64_t key = 0; key < keys; ++key) {
    digests.push_back(KeyDigest::Of(KeyOf(customer, key)).Hex());
  }
  return {
      {"keys", digests}, {"priority", 5}, {"rate_per_s", 20}, {"burst", 10}};
}

std::string DocumentText(int64_t customers, int64_t keys) {
  json document = {
      {"services", {{"plots", json::object()}}},
      {"classes", {{"short", json::object()}}},
      {"routes",
       {{"plots",
         {{"path_prefix", "/"}, {"service", "plots"}, {"class", "short"}}}}},
      {"customers", json::object()}};
  for (int64_t i = 0; i < customers; ++i) {
    document["customers"]["customer-" + std::to_string(i)] =
        CustomerOf(i, keys);
  }
  return document.dump();
}

ConfigVersionPtr VersionOf(const std::string& text) {
  std::vector<SettingsFault> faults;
  return MakeConfigVersion(1, 0, text, "[]", faults);
}

/// @return bytes allocated and not freed.
size_t AllocatedBytes() {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

void ReportBytes(benchmark::State& state, size_t before) {
  state.counters["bytes"] = static_cast<double>(AllocatedBytes() - before);
}

void Sizes(benchmark::internal::Benchmark* bench) {
  bench->Args({0, 0})->Args({75, 2})->Args({3000, 8});
}

void VersionHeld(benchmark::State& state) {
  const std::string text = DocumentText(state.range(0), state.range(1));
  for (auto _ : state) {
    const size_t before = AllocatedBytes();
    const ConfigVersionPtr version = VersionOf(text);
    ReportBytes(state, before);
  }
  state.counters["text"] = static_cast<double>(text.size());
}
BENCHMARK(VersionHeld)->Apply(Sizes)->Unit(benchmark::kMillisecond);

void DirectoryHeld(benchmark::State& state) {
  const auto version = VersionOf(DocumentText(state.range(0), state.range(1)));
  for (auto _ : state) {
    const size_t before = AllocatedBytes();
    const CustomerDirectory directory(version->document);
    ReportBytes(state, before);
  }
}
BENCHMARK(DirectoryHeld)->Apply(Sizes)->Unit(benchmark::kMillisecond);

void EditorHeld(benchmark::State& state) {
  const auto version = VersionOf(DocumentText(state.range(0), state.range(1)));
  for (auto _ : state) {
    const size_t before = AllocatedBytes();
    const DocumentEditor editor(version);
    ReportBytes(state, before);
  }
}
BENCHMARK(EditorHeld)->Apply(Sizes)->Unit(benchmark::kMillisecond);

/// A change of one customer, of which nothing is kept between two.
void CustomerChanged(benchmark::State& state) {
  const auto version = VersionOf(DocumentText(state.range(0), state.range(1)));
  const std::string patch =
      json::array({{{"op", "add"},
                    {"path", "/customers/customer-7"},
                    {"value", CustomerOf(7, state.range(1) + 1)}}})
          .dump();
  for (auto _ : state) {
    std::vector<SettingsFault> faults;
    DocumentEditor editor(version);
    editor.Apply(patch, faults);
    benchmark::DoNotOptimize(editor.Build(2, 1, patch, faults));
  }
  state.counters["patch"] = static_cast<double>(patch.size());
}
BENCHMARK(CustomerChanged)->Apply(Sizes)->Unit(benchmark::kMillisecond);

void KeyChecked(benchmark::State& state) {
  const auto version = VersionOf(DocumentText(state.range(0), state.range(1)));
  const CustomerDirectory directory(version->document);
  const RouteConfig route;
  const std::string key = KeyOf(state.range(0) / 2, 1);
  for (auto _ : state) {
    CallRequest request;
    request.access_key = key;
    request.key_fields = {{"Authorization", "Bearer " + key}};
    benchmark::DoNotOptimize(
        CheckKey(directory, version->document, route, request));
  }
}
BENCHMARK(KeyChecked)->Apply(Sizes);

}  // namespace
}  // namespace hibiscusglade

BENCHMARK_MAIN();
