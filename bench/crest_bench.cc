// Answers on time while the demand swings to three times the capacity within
// half a second: a long queue, a bounded one, and deadline-aware admission.
#include <gflags/gflags.h>

#include <cstdio>
#include <map>

#include "bench/deployment.h"
#include "tests/harness/process_cost.h"

DEFINE_string(deployment, "asociacion", "asociacion or cosflu");
DEFINE_int32(pairs, 3, "runs of each variant, taken in turn");
DEFINE_int32(network, 65, "loopback network, 127.N.0.0");
DEFINE_int32(service_ms, 100, "time of a request in ms");
DEFINE_int32(on_time_ms, 1000, "answers after this are late for the caller");

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCrestBegins{1000};
constexpr milliseconds kCrestFull{1500};
constexpr milliseconds kCrestEnds{5000};
constexpr milliseconds kLength{7000};
constexpr double kUsual = 0.5;  ///< Of the capacity.
constexpr double kCrest = 3.0;

struct Variant {
  std::string name;
  std::string service;  ///< Settings of the service.
  int max_wait_ms;
  bool carries_deadline;
};

double ShareAt(milliseconds at) {
  if (at < kCrestBegins || at >= kCrestEnds) return kUsual;
  if (at >= kCrestFull) return kCrest;
  return kUsual + (kCrest - kUsual) *
                      static_cast<double>((at - kCrestBegins).count()) /
                      static_cast<double>((kCrestFull - kCrestBegins).count());
}

std::string VersionOf(const Variant& variant) {
  const std::string timeout =
      std::to_string(variant.carries_deadline ? FLAGS_on_time_ms : 30000);
  return R"([{"op": "add", "path": "/services/plots", "value": {"ramp_ms": 0, )" +
         variant.service +
         R"(}}, {"op": "add", "path": "/classes/short", "value": {"max_wait_ms": )" +
         std::to_string(variant.max_wait_ms) +
         R"(}}, {"op": "add", "path": "/routes/plots", "value": {
           "path_prefix": "/plots/", "service": "plots", "class": "short",
           "repeatable": true, "timeout_ms": )" +
         timeout + "}}]";
}

struct Samples {
  std::vector<double> on_time_of_capacity;
  std::vector<int64_t> p99;
  uint64_t late = 0;
  uint64_t refused = 0;
  uint64_t broken = 0;
  uint64_t wrong = 0;
};

void Measure(const Deployment& deployment, const Variant& variant,
             Samples& samples) {
  DeployedMesh mesh(FLAGS_network, deployment,
                    {"--service_ms=" + std::to_string(FLAGS_service_ms)},
                    VersionOf(variant));
  const double capacity = deployment.Capacity(FLAGS_service_ms);
  LoadSpec spec;
  spec.length = kLength;
  spec.rate = [&](milliseconds at) { return capacity * ShareAt(at); };
  spec.call = [&](uint64_t n) {
    LoadCall call;
    call.url = mesh.Daemons().CallerUrl(mesh.EntryOf(n)) + "/plots/7";
    call.expected_body = "plots answers GET /plots/7\n";
    call.timeout_ms = FLAGS_on_time_ms;
    return call;
  };
  LoadResult result = RunLoad(spec)[""];
  // What the upstreams could have answered at most.
  double possible = 0;
  for (milliseconds at{0}; at < kLength; ++at) {
    possible += capacity * std::min(1.0, ShareAt(at)) / 1000;
  }
  samples.on_time_of_capacity.push_back(
      static_cast<double>(result.good - result.late) / possible);
  samples.p99.push_back(result.Quantile(0.99));
  samples.late += result.late;
  samples.broken += result.broken;
  samples.wrong += result.wrong;
  for (const auto& [code, count] : result.refusals) samples.refused += count;
}

int Run() {
  const Deployment deployment = DeploymentOf(FLAGS_deployment);
  const std::vector<Variant> variants = {
      {"one long queue", R"("max_queue": 10000)", 30000, false},
      {"bounded queue", R"("max_queue": 64)", 30000, false},
      {"bounded, wait limit", R"("max_queue": 64)", 500, false},
      {"deadline-aware", R"("max_queue": 64)", 1000, true}};
  const auto all = MeasureInTurn<Samples>(
      variants, FLAGS_pairs, [&](const Variant& variant, Samples& samples) {
        Measure(deployment, variant, samples);
      });
  std::printf(
      "| deployment | admission | on time, %% of the possible | p99 ms | late "
      "| refused | broken | wrong |\n|---|---|---|---|---|---|---|---|\n");
  for (const auto& [v, samples] : all) {
    std::printf("| %s | %s | %.1f | %.0f | %lu | %lu | %lu | %lu |\n",
                deployment.name.c_str(), variants[v].name.c_str(),
                100 * MedianOf(samples.on_time_of_capacity),
                MedianOf(samples.p99) / 1000.0, samples.late, samples.refused,
                samples.broken, samples.wrong);
  }
  return 0;
}

}  // namespace
}  // namespace hibiscusglade

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hibiscusglade::Run();
}
