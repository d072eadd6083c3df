// Latency of short calls beside archive downloads, with one common queue, with
// classes that have priorities alone, and with classes that reserve slots.
#include <gflags/gflags.h>

#include <cstdio>
#include <map>

#include "bench/deployment.h"
#include "tests/harness/process_cost.h"

DEFINE_string(deployment, "asociacion", "asociacion or cosflu");
DEFINE_int32(seconds, 6, "length of each measurement in seconds");
DEFINE_int32(pairs, 3, "measurements of each variant, interleaved");
DEFINE_int32(network, 70, "N of the loopback network 127.N.0.0");
DEFINE_int32(archive_ms, 1000, "service time of an archive call in ms");
DEFINE_double(archives, 0.95,
              "archive load as a share of the service's capacity");
DEFINE_double(short_rate, 200, "short calls per second");

namespace hibiscusglade {
namespace {

struct Variant {
  std::string name;
  std::string classes;
  std::string short_class;
  std::string archive_class;
};

std::string FirstPatchOf(const Variant& variant) {
  return R"([{"op": "add", "path": "/services/plots", "value": {"ramp_ms": 0}},
    {"op": "add", "path": "/classes", "value": )" +
         variant.classes + R"(},
    {"op": "add", "path": "/routes/plots", "value": {"path_prefix": "/plots/",
      "service": "plots", "class": ")" +
         variant.short_class + R"(", "repeatable": true}},
    {"op": "add", "path": "/routes/files", "value": {"path_prefix": "/files/",
      "service": "plots", "class": ")" +
         variant.archive_class + R"(", "repeatable": true}}])";
}

struct Samples {
  std::vector<int64_t> p50, p99, p999;  ///< In microseconds.
  uint64_t short_lost = 0;
  uint64_t archives_good = 0;
  uint64_t archives_lost = 0;
};

void Measure(const Deployment& deployment, const Variant& variant,
             Samples& samples) {
  DeployedMesh mesh(FLAGS_network, deployment, {"--service_ms=5"},
                    FirstPatchOf(variant));
  const double archive_rate =
      FLAGS_archives * deployment.Capacity(FLAGS_archive_ms);
  const double rate = archive_rate + FLAGS_short_rate;
  const auto archive_every = static_cast<uint64_t>(rate / archive_rate);
  const std::string archive =
      "/files/1?bytes=500000&ms=" + std::to_string(FLAGS_archive_ms);
  LoadSpec spec;
  spec.length = std::chrono::seconds(FLAGS_seconds);
  spec.rate = [rate](auto) { return rate; };
  spec.call = [&](uint64_t n) {
    const bool is_archive = n % archive_every == 0;
    LoadCall call;
    call.label = is_archive ? "archive" : "short";
    call.url =
        mesh.RunningMesh().CallerUrl(mesh.EntryOf(n / archive_every + n)) +
        (is_archive ? archive : "/plots/7");
    return call;
  };
  std::map<std::string, LoadResult> results = RunLoad(spec);
  LoadResult& short_result = results["short"];
  samples.p50.push_back(short_result.Quantile(0.5));
  samples.p99.push_back(short_result.Quantile(0.99));
  samples.p999.push_back(short_result.Quantile(0.999));
  samples.short_lost += short_result.sent - short_result.good;
  samples.archives_good += results["archive"].good;
  samples.archives_lost += results["archive"].sent - results["archive"].good;
}

int Run() {
  const Deployment deployment = DeploymentOf(FLAGS_deployment);
  const std::vector<Variant> variants = {
      {"one common queue", R"({"all": {"max_wait_ms": 3000}})", "all", "all"},
      {"priority only", R"({"short": {"max_wait_ms": 3000, "priority": 9},
         "archive": {"max_wait_ms": 3000, "priority": 1}})",
       "short", "archive"},
      {"reserved slots", R"({"short": {"max_wait_ms": 3000, "priority": 9,
         "reserved_percent": 20}, "archive": {"max_wait_ms": 3000,
         "priority": 1, "max_percent": 70}})",
       "short", "archive"}};
  const auto all = MeasureInterleaved<Samples>(
      variants, FLAGS_pairs, [&](const Variant& variant, Samples& samples) {
        Measure(deployment, variant, samples);
      });
  std::printf(
      "| deployment | queueing | short p50 ms | p99 ms | p99.9 ms | short lost "
      "| archives | archives lost |\n|---|---|---|---|---|---|---|---|\n");
  for (const auto& [v, samples] : all) {
    std::printf("| %s | %s | %.1f | %.1f | %.1f | %lu | %lu | %lu |\n",
                deployment.name.c_str(), variants[v].name.c_str(),
                MedianOf(samples.p50) / 1000.0, MedianOf(samples.p99) / 1000.0,
                MedianOf(samples.p999) / 1000.0, samples.short_lost,
                samples.archives_good, samples.archives_lost);
  }
  return 0;
}

}  // namespace
}  // namespace hibiscusglade

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hibiscusglade::Run();
}
