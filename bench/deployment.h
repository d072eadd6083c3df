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

/// Sizes of one user's deployment, in three failure domains.
struct Deployment {
  std::string name;
  std::vector<std::pair<std::string, int>> services;  ///< Name and servers.
  int slots = 0;                                      ///< Of each server.
  std::chrono::microseconds link_delay{0};  ///< One way between domains.

  int Servers() const { return services.front().second; }

  /// @return calls per second that the first service can run.
  double Capacity(int service_ms) const {
    return 1000.0 * slots * Servers() / service_ms;
  }
};

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
  throw std::invalid_argument("no deployment " + name);
}

/// A running deployment whose daemons all take callers' requests.
class DeployedMesh {
 public:
  /// @param version patch that makes the first version.
  DeployedMesh(int network, const Deployment& deployment,
               const std::vector<std::string>& upstream_flags,
               const std::string& version) {
    std::vector<SeatSpec> seats;
    for (const auto& [service, servers] : deployment.services) {
      for (int i = 0; i < servers; ++i) {
        const std::string name = service + std::to_string(i);
        const std::string domain = "d" + std::to_string(i % 3);
        const bool replica = &service == &deployment.services[0].first && i < 3;
        seats.push_back(
            {name, domain, service, deployment.slots, replica, upstream_flags});
        names_.push_back(name);
      }
    }
    mesh_ = std::make_unique<Mesh>(network, seats);
    mesh_->Links().SetPolicy(
        [this, delay = deployment.link_delay](const std::string& from,
                                              const std::string& to) {
          const bool same = mesh_->DomainOfIp(from) == mesh_->DomainOfIp(to);
          return Relay::Link{LinkMode::kPass,
                             same ? std::chrono::microseconds(0) : delay};
        });
    mesh_->Start();
    const std::chrono::seconds start_limit(30);
    const int upstreams = static_cast<int>(names_.size());
    for (const std::string& name : names_) {
      if (!mesh_->WaitForUpstreams(name, upstreams, start_limit)) {
        throw std::runtime_error("upstreams are missing at " + name);
      }
    }
    if (mesh_->Propose(names_[0], "first", 0, version).status != 200 ||
        !mesh_->WaitForVersion(1, start_limit)) {
      throw std::runtime_error("the first version is not in force");
    }
  }

  Mesh& Daemons() { return *mesh_; }

  /// @return the daemon that the n-th call goes to.
  const std::string& EntryOf(uint64_t n) const {
    return names_[n % names_.size()];
  }

  /// Changes settings of a stand-in, "slowdown=5".
  void Set(const std::string& instance, const std::string& setting) {
    SendHttp("GET", mesh_->UpstreamUrl(instance) + "/standin/set?" + setting);
  }

  /// @return the sum of a metric over all daemons and labels.
  double Sum(const std::string& metric) const {
    const std::string start = "hibiscusglade_" + metric;
    double sum = 0;
    for (const std::string& name : names_) {
      std::istringstream lines(
          SendHttp("GET", mesh_->OperatorUrl(name) + "/metrics").body);
      for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with(start)) continue;
        sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
      }
    }
    return sum;
  }

  /// @return runs at the first service's upstreams that live.
  uint64_t Runs(const Deployment& deployment) const {
    uint64_t runs = 0;
    for (int i = 0; i < deployment.Servers(); ++i) {
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
  std::vector<std::string> names_;
};

/// Measures each variant in turn, again and again, so that what changes on the
/// machine meanwhile meets all of them.
/// @param measure called with a variant and its samples.
/// @return the samples by the variant's place.
template <typename Samples, typename Variant, typename Measure>
std::map<size_t, Samples> MeasureInTurn(const std::vector<Variant>& variants,
                                        int rounds, const Measure& measure) {
  std::map<size_t, Samples> all;
  for (int round = 0; round < rounds; ++round) {
    for (size_t v = 0; v < variants.size(); ++v) measure(variants[v], all[v]);
  }
  return all;
}

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BENCH_DEPLOYMENT_H_
