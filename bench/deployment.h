#ifndef HIBISCUSGLADE_BENCH_DEPLOYMENT_H_
#define HIBISCUSGLADE_BENCH_DEPLOYMENT_H_

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "tests/harness/load.h"
#include "tests/harness/mesh.h"

namespace hibiscusglade {

/// Sizes of a deployment over three failure domains.
struct Deployment {
  std::string name;
  /// Name and number of upstreams of each service; the first one is measured.
  std::vector<std::pair<std::string, int>> services;
  int slots = 0;                            ///< Per upstream.
  std::chrono::microseconds link_delay{0};  ///< One way between domains.

  /// @return number of upstreams of the measured service.
  int MeasuredUpstreams() const { return services.front().second; }

  /// @return calls per second that the measured service can run.
  double Capacity(int service_ms) const {
    return 1000.0 * slots * MeasuredUpstreams() / service_ms;
  }
};

/// @param name asociacion or cosflu, with the sizes that the settings in
/// examples/andes-norte and examples/ro-nord describe.
/// @throws std::invalid_argument for another name.
inline Deployment DeploymentOf(const std::string& name) {
  if (name == "asociacion") {
    return {name,
            {{"plots", 6}, {"species", 5}, {"archive", 3}},
            6,
            std::chrono::microseconds(5000)};
  }
  if (name == "cosflu") {
    return {name,
            {{"plots", 5}, {"orders", 4}, {"drawings", 3}},
            13,
            std::chrono::microseconds(3500)};
  }
  throw std::invalid_argument("unknown deployment: " + name);
}

/// Real daemons and stand-in upstreams in the sizes of a deployment. Every
/// daemon is an entry.
class DeployedMesh {
 public:
  /// Starts the mesh and proposes its first version.
  /// @param first_patch patch that creates the first version.
  /// @throws std::runtime_error when upstreams or the version are missing after
  /// the start timeout.
  DeployedMesh(int network, const Deployment& deployment,
               const std::vector<std::string>& upstream_flags,
               const std::string& first_patch) {
    std::vector<InstanceSpec> specs;
    for (const auto& [service, upstreams] : deployment.services) {
      for (int i = 0; i < upstreams; ++i) {
        const std::string name = service + std::to_string(i);
        const std::string domain = "d" + std::to_string(i % 3);
        const bool replica = &service == &deployment.services[0].first && i < 3;
        specs.push_back(
            {name, domain, service, deployment.slots, replica, upstream_flags});
        instances_.push_back(name);
      }
    }
    mesh_ = std::make_unique<Mesh>(network, specs);
    mesh_->LinkRelay().SetPolicy(
        [this, delay = deployment.link_delay](const std::string& from,
                                              const std::string& to) {
          const bool same = mesh_->DomainOfIp(from) == mesh_->DomainOfIp(to);
          return Relay::Link{LinkMode::kPass,
                             same ? std::chrono::microseconds(0) : delay};
        });
    mesh_->Start();
    const std::chrono::seconds start_timeout(30);
    const int upstreams = static_cast<int>(instances_.size());
    for (const std::string& name : instances_) {
      if (!mesh_->WaitForUpstreams(name, upstreams, start_timeout)) {
        throw std::runtime_error("timed out waiting for the upstreams at " +
                                 name);
      }
    }
    if (mesh_->Propose(instances_[0], "first", 0, first_patch).status != 200 ||
        !mesh_->WaitForVersion(1, start_timeout)) {
      throw std::runtime_error(
          "the first version was refused or is not in force");
    }
  }

  Mesh& RunningMesh() { return *mesh_; }

  /// @return the instance whose daemon receives the n-th call.
  const std::string& EntryOf(uint64_t n) const {
    return instances_[n % instances_.size()];
  }

  /// Changes a setting of a stand-in upstream, for example "slowdown=5".
  void ConfigureUpstream(const std::string& instance,
                         const std::string& setting) {
    SendHttp("GET", mesh_->UpstreamUrl(instance) + "/standin/set?" + setting);
  }

  /// Adds up a metric over all daemons and labels.
  /// @param metric start of the metric's lines, without the common prefix:
  /// its name, or its name and the first labels to match.
  double SumMetric(const std::string& metric) const {
    const std::string start = "hibiscusglade_" + metric;
    double sum = 0;
    for (const std::string& name : instances_) {
      std::istringstream lines(
          SendHttp("GET", mesh_->OperatorUrl(name) + "/metrics").body);
      for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with(start)) continue;
        sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
      }
    }
    return sum;
  }

  /// @return runs so far at the measured service's running upstreams.
  uint64_t CountRuns(const Deployment& deployment) const {
    uint64_t runs = 0;
    for (int i = 0; i < deployment.MeasuredUpstreams(); ++i) {
      const std::string name =
          deployment.services.front().first + std::to_string(i);
      std::istringstream lines(
          SendHttp("GET", mesh_->UpstreamUrl(name) + "/standin/runs").body);
      for (std::string line; std::getline(lines, line);) {
        runs += std::strtoull(line.c_str(), nullptr, 10);
      }
    }
    return runs;
  }

 private:
  std::unique_ptr<Mesh> mesh_;
  std::vector<std::string> instances_;
};

/// Measures every variant once per round, so that changes in the machine's load
/// affect all variants alike.
/// @param measure called with a variant and its samples.
/// @return the samples by the index of the variant.
template <typename Samples, typename Variant, typename Measure>
std::map<size_t, Samples> MeasureInterleaved(
    const std::vector<Variant>& variants, int rounds, const Measure& measure) {
  std::map<size_t, Samples> all;
  for (int round = 0; round < rounds; ++round) {
    for (size_t v = 0; v < variants.size(); ++v) measure(variants[v], all[v]);
  }
  return all;
}

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BENCH_DEPLOYMENT_H_
