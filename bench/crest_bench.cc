// Answers on time while the load rises to three times the capacity within half
// a second: with a long queue, bounded queues and deadline-aware admission.
#include <gflags/gflags.h>

#include <cstdio>
#include <map>

#include "bench/deployment.h"
#include "tests/harness/process_cost.h"

DEFINE_string(deployment, "asociacion", "asociacion or cosflu");
DEFINE_int32(pairs, 3, "measurements of each variant, interleaved");
DEFINE_int32(network, 65, "N of the loopback network 127.N.0.0");
DEFINE_int32(service_ms, 100, "service time of a request in ms");
DEFINE_int32(on_time_ms, 1000,
             "time in ms after which an answer is late for the caller");

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRampStart{1000};
constexpr milliseconds kPeakStart{1500};
constexpr milliseconds kPeakEnd{5000};
constexpr milliseconds kLength{7000};
constexpr double kBaseLoad = 0.5;  ///< Multiple of the capacity.
constexpr double kPeakLoad = 3.0;  ///< Multiple of the capacity.

struct Variant {
  std::string name;
  std::string service_settings;  ///< JSON members.
  int max_wait_ms;
  bool deadline_aware;  ///< Whether the route's timeout is the caller's.
};

/// @return the load at a time, as a multiple of the capacity.
double LoadAt(milliseconds at) {
  if (at < kRampStart || at >= kPeakEnd) return kBaseLoad;
  if (at >= kPeakStart) return kPeakLoad;
  return kBaseLoad + (kPeakLoad - kBaseLoad) *
                         static_cast<double>((at - kRampStart).count()) /
                         static_cast<double>((kPeakStart - kRampStart).count());
}

std::string FirstPatchOf(const Variant& variant) {
  const std::string timeout =
      std::to_string(variant.deadline_aware ? FLAGS_on_time_ms : 30000);
  return R"([{"op": "add", "path": "/services/plots", "value": {"ramp_ms": 0, )" +
         variant.service_settings +
         R"(}}, {"op": "add", "path": "/classes/short", "value": {"max_wait_ms": )" +
         std::to_string(variant.max_wait_ms) +
         R"(}}, {"op": "add", "path": "/routes/plots", "value": {
           "path_prefix": "/plots/", "service": "plots", "class": "short",
           "repeatable": true, "timeout_ms": )" +
         timeout + "}}]";
}

struct Samples {
  std::vector<double> on_time_share;
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
                    FirstPatchOf(variant));
  const double capacity = deployment.Capacity(FLAGS_service_ms);
  LoadSpec spec;
  spec.length = kLength;
  spec.rate = [&](milliseconds at) { return capacity * LoadAt(at); };
  spec.call = [&](uint64_t n) {
    LoadCall call;
    call.url = mesh.RunningMesh().CallerUrl(mesh.EntryOf(n)) + "/plots/7";
    call.expected_body = "plots answers GET /plots/7\n";
    call.timeout_ms = FLAGS_on_time_ms;
    return call;
  };
  LoadResult result = RunLoad(spec)[""];
  // Answers that the capacity allows without queueing. Calls queued during the
  // peak and answered after it can raise the share above 1.
  double possible = 0;
  for (milliseconds at{0}; at < kLength; ++at) {
    possible += capacity * std::min(1.0, LoadAt(at)) / 1000;
  }
  samples.on_time_share.push_back(
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
  const auto all = MeasureInterleaved<Samples>(
      variants, FLAGS_pairs, [&](const Variant& variant, Samples& samples) {
        Measure(deployment, variant, samples);
      });
  std::printf(
      "| deployment | admission | on time, %% of the possible | p99 ms | late "
      "| refused | broken | wrong |\n|---|---|---|---|---|---|---|---|\n");
  for (const auto& [v, samples] : all) {
    std::printf("| %s | %s | %.1f | %.0f | %lu | %lu | %lu | %lu |\n",
                deployment.name.c_str(), variants[v].name.c_str(),
                100 * MedianOf(samples.on_time_share),
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
