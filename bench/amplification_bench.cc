// Work and messages added by retries and hedges while half of a service's
// upstreams are slowed ten times and the load exceeds what is left.
#include <gflags/gflags.h>

#include <cstdio>
#include <map>

#include "bench/deployment.h"
#include "tests/harness/process_cost.h"

DEFINE_string(deployment, "asociacion", "asociacion or cosflu");
DEFINE_int32(seconds, 5, "length of each run in seconds");
DEFINE_int32(pairs, 3, "runs of each variant, taken in turn");
DEFINE_int32(network, 75, "loopback network, 127.N.0.0");
DEFINE_int32(service_ms, 40, "time of a request in ms");
DEFINE_double(load, 0.9, "share of the service's capacity");

namespace hibiscusglade {
namespace {

struct Variant {
  std::string name;
  int retry_percent;
  int hedge_percent;
};

std::string VersionOf(const Variant& variant) {
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
  std::vector<double> work, messages, good;
};

void Measure(const Deployment& deployment, const Variant& variant,
             Samples& samples) {
  DeployedMesh mesh(FLAGS_network, deployment,
                    {"--service_ms=" + std::to_string(FLAGS_service_ms)},
                    VersionOf(variant));
  LoadSpec spec;
  const double rate = FLAGS_load * deployment.Capacity(FLAGS_service_ms);
  spec.rate = [rate](auto) { return rate; };
  spec.call = [&](uint64_t n) {
    LoadCall call;
    call.url = mesh.Daemons().CallerUrl(mesh.EntryOf(n)) + "/plots/7";
    call.timeout_ms = 1000;
    return call;
  };
  spec.length = std::chrono::seconds(2);
  RunLoad(spec);  // Learns the usual latencies.
  for (int i = 0; i < deployment.Servers() / 2; ++i) {
    mesh.Set("plots" + std::to_string(i), "slowdown=10");
  }
  const double runs = static_cast<double>(mesh.Runs(deployment));
  const double extra =
      mesh.Sum("retries_total") + mesh.Sum("hedges_total{reason=\"sent\"");
  spec.length = std::chrono::seconds(FLAGS_seconds);
  LoadResult result = RunLoad(spec)[""];
  const auto sent = static_cast<double>(result.sent);
  samples.work.push_back((static_cast<double>(mesh.Runs(deployment)) - runs) /
                         sent);
  samples.messages.push_back(1 + (mesh.Sum("retries_total") +
                                  mesh.Sum("hedges_total{reason=\"sent\"") -
                                  extra) /
                                     sent);
  samples.good.push_back(static_cast<double>(result.good - result.late) / sent);
}

int Run() {
  const Deployment deployment = DeploymentOf(FLAGS_deployment);
  const std::vector<Variant> variants = {
      {"no retries", 0, 0}, {"budgets", 10, 5}, {"without limit", 100, 100}};
  const auto all = MeasureInTurn<Samples>(
      variants, FLAGS_pairs, [&](const Variant& variant, Samples& samples) {
        Measure(deployment, variant, samples);
      });
  std::printf(
      "| deployment | retries and hedges | runs per call | attempts per call "
      "| on time %% |\n|---|---|---|---|---|\n");
  for (const auto& [v, samples] : all) {
    std::printf("| %s | %s | %.3f | %.3f | %.1f |\n", deployment.name.c_str(),
                variants[v].name.c_str(), MedianOf(samples.work),
                MedianOf(samples.messages), 100 * MedianOf(samples.good));
  }
  return 0;
}

}  // namespace
}  // namespace hibiscusglade

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hibiscusglade::Run();
}
