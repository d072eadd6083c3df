// Runs and attempts that retries and hedges add while half of a service's
// upstreams are ten times slower and the load exceeds the remaining capacity.
#include <gflags/gflags.h>

#include <cstdio>
#include <map>

#include "bench/deployment.h"
#include "tests/harness/process_cost.h"

DEFINE_string(deployment, "asociacion", "asociacion or cosflu");
DEFINE_int32(seconds, 5, "length of each measurement in seconds");
DEFINE_int32(pairs, 3, "measurements of each variant, interleaved");
DEFINE_int32(network, 75, "N of the loopback network 127.N.0.0");
DEFINE_int32(service_ms, 40, "service time of a request in ms");
DEFINE_double(load, 0.9, "load as a share of the service's capacity");

namespace hibiscusglade {
namespace {

struct Variant {
  std::string name;
  int retry_percent;
  int hedge_percent;
};

std::string FirstPatchOf(const Variant& variant) {
  return R"([{"op": "add", "path": "/services/plots",
      "value": {"ramp_ms": 0, "max_queue": 16}},
    {"op": "add", "path": "/limits", "value": {"retry_budget_percent": )" +
         std::to_string(variant.retry_percent) +
         R"(, "hedge_budget_percent": )" +
         std::to_string(variant.hedge_percent) + R"(}},
    {"op": "add", "path": "/classes/short", "value": {"max_wait_ms": 500}},
    {"op": "add", "path": "/routes/plots", "value": {"path_prefix": "/plots/",
      "service": "plots", "class": "short", "repeatable": true, "hedge": true,
      "timeout_ms": 1000}}])";
}

struct Samples {
  std::vector<double> runs_per_call, attempts_per_call, on_time_share;
};

void Measure(const Deployment& deployment, const Variant& variant,
             Samples& samples) {
  DeployedMesh mesh(FLAGS_network, deployment,
                    {"--service_ms=" + std::to_string(FLAGS_service_ms)},
                    FirstPatchOf(variant));
  LoadSpec spec;
  const double rate = FLAGS_load * deployment.Capacity(FLAGS_service_ms);
  spec.rate = [rate](auto) { return rate; };
  spec.call = [&](uint64_t n) {
    LoadCall call;
    call.url = mesh.RunningMesh().CallerUrl(mesh.EntryOf(n)) + "/plots/7";
    call.timeout_ms = 1000;
    return call;
  };
  spec.length = std::chrono::seconds(2);
  RunLoad(spec);  // Warm-up: the daemons learn the usual latencies.
  for (int i = 0; i < deployment.MeasuredUpstreams() / 2; ++i) {
    mesh.ConfigureUpstream("plots" + std::to_string(i), "slowdown=10");
  }
  const double runs_before = static_cast<double>(mesh.CountRuns(deployment));
  const double extra_before = mesh.SumMetric("retries_total") +
                              mesh.SumMetric("hedges_total{reason=\"sent\"");
  spec.length = std::chrono::seconds(FLAGS_seconds);
  LoadResult result = RunLoad(spec)[""];
  const auto sent = static_cast<double>(result.sent);
  samples.runs_per_call.push_back(
      (static_cast<double>(mesh.CountRuns(deployment)) - runs_before) / sent);
  samples.attempts_per_call.push_back(
      1 + (mesh.SumMetric("retries_total") +
           mesh.SumMetric("hedges_total{reason=\"sent\"") - extra_before) /
              sent);
  samples.on_time_share.push_back(
      static_cast<double>(result.good - result.late) / sent);
}

int Run() {
  const Deployment deployment = DeploymentOf(FLAGS_deployment);
  const std::vector<Variant> variants = {
      {"no retries", 0, 0}, {"budgets", 10, 5}, {"without limit", 100, 100}};
  const auto all = MeasureInterleaved<Samples>(
      variants, FLAGS_pairs, [&](const Variant& variant, Samples& samples) {
        Measure(deployment, variant, samples);
      });
  std::printf(
      "| deployment | retries and hedges | runs per call | attempts per call "
      "| on time %% |\n|---|---|---|---|---|\n");
  for (const auto& [v, samples] : all) {
    std::printf("| %s | %s | %.3f | %.3f | %.1f |\n", deployment.name.c_str(),
                variants[v].name.c_str(), MedianOf(samples.runs_per_call),
                MedianOf(samples.attempts_per_call),
                100 * MedianOf(samples.on_time_share));
  }
  return 0;
}

}  // namespace
}  // namespace hibiscusglade

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hibiscusglade::Run();
}
