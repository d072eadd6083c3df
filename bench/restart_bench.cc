// All daemons are killed at once and started again while their upstreams run
// on: the time from the start to the first answer, and to nine tenths of the
// rate that was answered before.
#include <gflags/gflags.h>

#include <cstdio>
#include <thread>

#include "bench/deployment.h"

DEFINE_string(deployment, "cosflu", "asociacion or cosflu");
DEFINE_int32(rounds, 3, "losses of all daemons");
DEFINE_int32(network, 67, "N of the loopback network 127.N.0.0");
DEFINE_int32(down_ms, 600, "time without daemons in ms");
DEFINE_int32(rate, 400, "calls per second, over all entries");
DEFINE_bool(one_dark, false, "leave one replica's daemon down");

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSteady{1000};
constexpr milliseconds kAfter{6500};
constexpr milliseconds kBucket{50};
/// Nine tenths count once they hold over this many buckets.
constexpr size_t kHeldBuckets = 4;
constexpr char kFirstPatch[] =
    R"([{"op": "add", "path": "/services/plots", "value": {"ramp_ms": 0}},
        {"op": "add", "path": "/classes/short", "value": {"max_wait_ms": 500}},
        {"op": "add", "path": "/routes/plots", "value": {
         "path_prefix": "/plots/", "service": "plots", "class": "short",
         "repeatable": true, "timeout_ms": 1000}}])";

struct Outcome {
  int first_ms = -1;  ///< From the start to the first answer; -1: none.
  int nine_tenths_ms = -1;
};

/// Counts the good answers of each time slot of a load.
class Timeline {
 public:
  explicit Timeline(const std::map<std::string, LoadResult>& results) {
    for (const auto& [slot, result] : results) {
      const size_t index = std::stoul(slot);
      if (good_.size() <= index) good_.resize(index + 1);
      good_[index] = result.good;
    }
  }

  /// @param start slot in which the daemons were started.
  Outcome After(size_t start) const {
    Outcome outcome;
    const size_t steady = static_cast<size_t>(kSteady / kBucket);
    uint64_t before = 0;
    for (size_t i = 0; i < steady; ++i) before += good_[i];
    const double wanted = 0.9 * static_cast<double>(before) /
                          static_cast<double>(steady) * kHeldBuckets;
    for (size_t i = start; i + kHeldBuckets <= good_.size(); ++i) {
      const int ms = static_cast<int>((i - start) * kBucket.count());
      if (outcome.first_ms < 0 && good_[i] > 0) outcome.first_ms = ms;
      if (outcome.first_ms < 0) continue;
      uint64_t held = 0;
      for (size_t j = i; j < i + kHeldBuckets; ++j) held += good_[j];
      if (static_cast<double>(held) < wanted) continue;
      outcome.nine_tenths_ms = ms;
      break;
    }
    return outcome;
  }

 private:
  std::vector<uint64_t> good_;
};

std::vector<std::string> InstancesOf(const Deployment& deployment) {
  std::vector<std::string> names;
  for (const auto& [service, upstreams] : deployment.services) {
    for (int i = 0; i < upstreams; ++i) {
      names.push_back(service + std::to_string(i));
    }
  }
  return names;
}

Outcome Measure(DeployedMesh& mesh, const std::vector<std::string>& names) {
  LoadSpec spec;
  const milliseconds down(FLAGS_down_ms);
  spec.length = kSteady + down + kAfter;
  spec.rate = [](milliseconds) { return FLAGS_rate; };
  const auto per_bucket =
      static_cast<uint64_t>(FLAGS_rate * kBucket.count() / 1000);
  spec.call = [&](uint64_t n) {
    LoadCall call;
    call.url = mesh.RunningMesh().CallerUrl(mesh.EntryOf(n)) + "/plots/7";
    call.expected_body = "plots answers GET /plots/7\n";
    call.timeout_ms = 1000;
    call.label = std::to_string(n / per_bucket);
    return call;
  };
  // The daemons end with the thread that starts them, so this one does.
  std::map<std::string, LoadResult> results;
  const auto load_began = std::chrono::steady_clock::now();
  std::thread load([&] { results = RunLoad(spec); });
  std::this_thread::sleep_for(kSteady);
  for (const std::string& name : names) mesh.RunningMesh().KillDaemon(name);
  std::this_thread::sleep_for(down);
  const auto started = std::chrono::steady_clock::now() - load_began;
  for (const std::string& name : names) {
    if (FLAGS_one_dark && name == names.front()) continue;
    mesh.RunningMesh().StartDaemon(name);
  }
  load.join();
  if (FLAGS_one_dark) mesh.RunningMesh().StartDaemon(names.front());
  return Timeline(results).After(static_cast<size_t>(started / kBucket));
}

int Run() {
  const Deployment deployment = DeploymentOf(FLAGS_deployment);
  const std::vector<std::string> names = InstancesOf(deployment);
  DeployedMesh mesh(FLAGS_network, deployment, {}, kFirstPatch);
  std::printf(
      "| deployment | round | first answer ms | nine tenths ms |\n"
      "|---|---|---|---|\n");
  for (int round = 1; round <= FLAGS_rounds; ++round) {
    const Outcome outcome = Measure(mesh, names);
    std::printf("| %s | %d | %d | %d |\n", deployment.name.c_str(), round,
                outcome.first_ms, outcome.nine_tenths_ms);
    std::fflush(stdout);
    std::this_thread::sleep_for(std::chrono::seconds(3));
  }
  return 0;
}

}  // namespace
}  // namespace hibiscusglade

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hibiscusglade::Run();
}
