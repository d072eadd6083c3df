// Latency that the path through entry and owner adds to a call, compared with
// calls sent directly to the upstreams in the same run, at rising rates.
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "tests/harness/load.h"
#include "tests/harness/mesh.h"
#include "tests/harness/process_cost.h"

DEFINE_int32(seconds, 3, "length of each measurement in seconds");
DEFINE_int32(pairs, 3,
             "paired measurements of each rate, direct and through the mesh");
DEFINE_int32(network, 200, "N of the loopback network 127.N.0.0");

namespace hibiscusglade {
namespace {

constexpr char kFirstPatch[] = R"([
  {"op": "add", "path": "/services/plots", "value": {"max_queue": 64}},
  {"op": "add", "path": "/classes/short", "value": {"max_wait_ms": 1000}},
  {"op": "add", "path": "/routes/plots", "value": {"path_prefix": "/plots/",
    "service": "plots", "class": "short", "repeatable": true}}])";
constexpr char kExpected[] = "plots answers GET /plots/7\n";

struct Sample {
  int64_t median_us = 0;
  int64_t p99_us = 0;
  double core_ms_per_call = 0;  ///< Of all daemons together.
  uint64_t not_good = 0;
};

Sample Measure(Mesh& mesh, double rate, bool direct) {
  const std::vector<std::string> names = {"x", "y", "z"};
  auto total_cpu_ms = [&] {
    double total = 0;
    for (const auto& name : names) {
      total += ProcessCpuMs(mesh.Daemon(name).Pid());
    }
    return total;
  };
  LoadSpec spec;
  spec.length = std::chrono::seconds(FLAGS_seconds);
  spec.rate = [rate](auto) { return rate; };
  spec.call = [&](uint64_t n) {
    LoadCall call;
    const std::string& name = names[n % names.size()];
    call.url =
        (direct ? mesh.UpstreamUrl(name) : mesh.CallerUrl(name)) + "/plots/7";
    call.expected_body = kExpected;
    return call;
  };
  const double cpu_ms_before = total_cpu_ms();
  LoadResult result = RunLoad(spec)[""];
  Sample sample;
  sample.median_us = result.Quantile(0.5);
  sample.p99_us = result.Quantile(0.99);
  sample.core_ms_per_call =
      (total_cpu_ms() - cpu_ms_before) /
      static_cast<double>(std::max<uint64_t>(1, result.sent));
  sample.not_good = result.sent - result.good;
  return sample;
}

int Run() {
  Mesh mesh(FLAGS_network, {{"x", "a", "plots", 60, true, {}},
                            {"y", "a", "plots", 60, true, {}},
                            {"z", "a", "plots", 60, true, {}}});
  mesh.Start();
  if (!mesh.WaitForUpstreams("x", 3, std::chrono::seconds(20)) ||
      mesh.Propose("x", "p", 0, kFirstPatch).status != 200 ||
      !mesh.WaitForVersion(1, std::chrono::seconds(20))) {
    return 1;
  }
  std::printf(
      "| calls/s | direct p50 us | direct p99 us | mesh p50 us | mesh p99 us "
      "| added p50 us | added p99 us | core ms/call | not good |\n"
      "|---|---|---|---|---|---|---|---|---|\n");
  for (double rate : {100.0, 300.0, 900.0, 1500.0}) {
    std::vector<int64_t> direct_p50, direct_p99, mesh_p50, mesh_p99;
    std::vector<double> core_ms;
    uint64_t not_good = 0;
    for (int pair = 0; pair < FLAGS_pairs; ++pair) {
      const Sample direct_sample = Measure(mesh, rate, true);
      const Sample mesh_sample = Measure(mesh, rate, false);
      direct_p50.push_back(direct_sample.median_us);
      direct_p99.push_back(direct_sample.p99_us);
      mesh_p50.push_back(mesh_sample.median_us);
      mesh_p99.push_back(mesh_sample.p99_us);
      core_ms.push_back(mesh_sample.core_ms_per_call);
      not_good += direct_sample.not_good + mesh_sample.not_good;
    }
    std::printf(
        "| %.0f | %ld | %ld | %ld | %ld | %ld | %ld | %.3f | %lu |\n", rate,
        MedianOf(direct_p50), MedianOf(direct_p99), MedianOf(mesh_p50),
        MedianOf(mesh_p99), MedianOf(mesh_p50) - MedianOf(direct_p50),
        MedianOf(mesh_p99) - MedianOf(direct_p99), MedianOf(core_ms), not_good);
    std::fflush(stdout);
  }
  return 0;
}

}  // namespace
}  // namespace hibiscusglade

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hibiscusglade::Run();
}
