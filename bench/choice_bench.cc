// Tail latency of each policy that chooses upstreams, with none, one and two
// upstreams five times slower, under the same open-loop load with stragglers;
// with --uneven, of two policies on upstreams of unequal speed with bursts of
// noise beside them, at several loads.
#include <gflags/gflags.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <thread>

#include "bench/deployment.h"
#include "tests/harness/process_cost.h"

DEFINE_string(deployment, "asociacion", "asociacion or cosflu");
DEFINE_int32(seconds, 2, "length of each measurement in seconds");
DEFINE_int32(pairs, 3, "measurements of each variant, interleaved");
DEFINE_int32(network, 60, "N of the loopback network 127.N.0.0");
DEFINE_int32(service_ms, 40,
             "service time of a request that is no straggler, in ms");
DEFINE_string(only, "", "measures only policies whose names start with this");
DEFINE_double(load, 0.5, "load as a share of the service's capacity");

DEFINE_bool(uneven, false, "upstreams of unequal speed with bursts of noise");

namespace hibiscusglade {
namespace {

constexpr char kFirstPatch[] = R"([
  {"op": "add", "path": "/services/plots", "value": {"ramp_ms": 0}},
  {"op": "add", "path": "/classes/short", "value": {"max_wait_ms": 2000}},
  {"op": "add", "path": "/routes/plots", "value": {"path_prefix": "/plots/",
    "service": "plots", "class": "short", "repeatable": true}}])";
constexpr char kExpected[] = "plots answers GET /plots/7\n";
constexpr int kMaxSlowed = 2;

struct Variant {
  std::string policy;
  bool with_ejection;
};

struct Samples {
  std::vector<int64_t> p50, p99, p999;  ///< In microseconds.
  uint64_t not_good = 0;
  /// Since the start of the last round's mesh.
  double ejections = 0;
  double planned = 0;  ///< Choices that a plan sent to another domain.
};

void Measure(DeployedMesh& mesh, double rate, Samples& samples) {
  LoadSpec spec;
  spec.length = std::chrono::seconds(FLAGS_seconds);
  spec.rate = [rate](auto) { return rate; };
  spec.call = [&](uint64_t n) {
    LoadCall call;
    call.url = mesh.RunningMesh().CallerUrl(mesh.EntryOf(n)) + "/plots/7";
    call.expected_body = kExpected;
    return call;
  };
  LoadResult result = RunLoad(spec)[""];
  samples.p50.push_back(result.Quantile(0.5));
  samples.p99.push_back(result.Quantile(0.99));
  samples.p999.push_back(result.Quantile(0.999));
  samples.not_good += result.sent - result.good;
  samples.ejections = mesh.SumMetric("upstream_ejections_total");
  samples.planned = mesh.SumMetric("choices_total{reason=\"planned\"");
}

constexpr double kSpeeds[] = {0.7, 0.7, 1.7};
constexpr double kNoise = 2.5;  ///< Factor on the time of a run.
constexpr auto kNoiseInterval = std::chrono::milliseconds(600);
/// The stand-ins take whole factors, so their base time is this much shorter.
constexpr int kSlowdownSteps = 10;

/// Slows one upstream at a time, another one in each interval.
void MakeNoise(DeployedMesh& mesh, int upstreams, const std::stop_token& stop) {
  const auto set = [&](int i, double factor) {
    const double speed = kSpeeds[(i + i / 3) % 3];
    const long steps = std::lround(kSlowdownSteps / speed * factor);
    mesh.ConfigureUpstream("plots" + std::to_string(i),
                           "slowdown=" + std::to_string(steps));
  };
  for (int i = 0; i < upstreams; ++i) set(i, 1);
  for (int turn = 0; !stop.stop_requested(); ++turn) {
    const int noisy = turn * 5 % upstreams;
    set(noisy, kNoise);
    std::this_thread::sleep_for(kNoiseInterval);
    set(noisy, 1);
  }
}

int RunUneven() {
  const Deployment deployment = DeploymentOf(FLAGS_deployment);
  const std::string without_plans = "two_choices, no plans";
  const std::vector<std::string> policies = {without_plans, "two_choices",
                                             "two_choices_by_speed"};
  const std::vector<double> loads = {0.5, 0.9, 1.3};
  std::map<std::pair<double, std::string>, Samples> all;
  for (int round = 0; round < FLAGS_pairs; ++round) {
    for (const std::string& policy : policies) {
      if (policy == without_plans) {
        setenv("HIBISCUSGLADE_NO_PLANS", "1", 1);
        setenv("HIBISCUSGLADE_CHOICE_POLICY", "two_choices", 1);
      } else {
        unsetenv("HIBISCUSGLADE_NO_PLANS");
        setenv("HIBISCUSGLADE_CHOICE_POLICY", policy.c_str(), 1);
      }
      DeployedMesh mesh(
          FLAGS_network, deployment,
          {"--service_ms=" + std::to_string(FLAGS_service_ms / kSlowdownSteps),
           "--straggler_every=100", "--straggler_factor=5"},
          kFirstPatch);
      std::jthread noise([&](const std::stop_token& stop) {
        MakeNoise(mesh, deployment.MeasuredUpstreams(), stop);
      });
      std::this_thread::sleep_for(kNoiseInterval);
      for (double load : loads) {
        Measure(mesh, load * deployment.Capacity(FLAGS_service_ms),
                all[{load, policy}]);
      }
    }
  }
  std::printf(
      "| deployment | choice | load | p50 ms | p99 ms | p99.9 ms | not good "
      "| planned outside |\n|---|---|---|---|---|---|---|---|\n");
  for (const auto& [key, samples] : all) {
    std::printf("| %s | %s | %.1f | %.1f | %.1f | %.1f | %lu | %.0f |\n",
                deployment.name.c_str(), key.second.c_str(), key.first,
                MedianOf(samples.p50) / 1000.0, MedianOf(samples.p99) / 1000.0,
                MedianOf(samples.p999) / 1000.0, samples.not_good,
                samples.planned);
  }
  return 0;
}

int Run() {
  const Deployment deployment = DeploymentOf(FLAGS_deployment);
  const double rate = FLAGS_load * deployment.Capacity(FLAGS_service_ms);
  const std::vector<Variant> variants = {
      {"round_robin", false},         {"random", false},
      {"least_loaded", false},        {"remaining", false},
      {"remaining_not_twice", false}, {"two_choices", false},
      {"two_choices", true},          {"two_choices_by_speed", true},
      {"shortest_time", false},       {"shortest_time", true}};
  std::map<std::pair<size_t, int>, Samples> all;
  for (int round = 0; round < FLAGS_pairs; ++round) {
    for (size_t v = 0; v < variants.size(); ++v) {
      if (!variants[v].policy.starts_with(FLAGS_only)) continue;
      setenv("HIBISCUSGLADE_CHOICE_POLICY", variants[v].policy.c_str(), 1);
      if (variants[v].with_ejection) {
        unsetenv("HIBISCUSGLADE_NO_EJECTION");
      } else {
        setenv("HIBISCUSGLADE_NO_EJECTION", "1", 1);
      }
      DeployedMesh mesh(FLAGS_network, deployment,
                        {"--service_ms=" + std::to_string(FLAGS_service_ms),
                         "--straggler_every=100", "--straggler_factor=5"},
                        kFirstPatch);
      for (int slowed = 0; slowed <= kMaxSlowed; ++slowed) {
        if (slowed > 0) {
          mesh.ConfigureUpstream("plots" + std::to_string(slowed - 1),
                                 "slowdown=5");
        }
        Measure(mesh, rate, all[{v, slowed}]);
      }
    }
  }
  std::printf(
      "| deployment | choice | ejection | slowed | p50 ms | p99 ms | p99.9 ms "
      "| not good | ejections |\n|---|---|---|---|---|---|---|---|---|\n");
  for (const auto& [key, samples] : all) {
    const Variant& variant = variants[key.first];
    std::printf("| %s | %s | %s | %d | %.1f | %.1f | %.1f | %lu | %.0f |\n",
                deployment.name.c_str(), variant.policy.c_str(),
                variant.with_ejection ? "yes" : "no", key.second,
                MedianOf(samples.p50) / 1000.0, MedianOf(samples.p99) / 1000.0,
                MedianOf(samples.p999) / 1000.0, samples.not_good,
                samples.ejections);
  }
  return 0;
}

}  // namespace
}  // namespace hibiscusglade

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return FLAGS_uneven ? hibiscusglade::RunUneven() : hibiscusglade::Run();
}
