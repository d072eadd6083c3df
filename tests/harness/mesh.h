#ifndef HIBISCUSGLADE_TESTS_HARNESS_MESH_H_
#define HIBISCUSGLADE_TESTS_HARNESS_MESH_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tests/harness/child_process.h"
#include "tests/harness/http_client.h"
#include "tests/harness/network_lock.h"
#include "tests/harness/relay.h"

namespace hibiscusglade {

/// One instance of a test mesh: a daemon and the upstream beside it.
struct InstanceSpec {
  std::string instance;
  std::string failure_domain;
  std::string service;  ///< Empty for a daemon without an upstream.
  int slots = 6;
  bool replica = false;
  std::vector<std::string> upstream_flags;
  std::string settings = "{}";  ///< JSON object added to the daemon's settings.
};

/// Real daemons and stand-in upstreams on loopback addresses. Each instance has
/// an IP address of its own; all traffic between daemons goes through a relay.
class Mesh {
 public:
  /// Waits for other programs that use the same network.
  /// @param network 1 to 250, different for meshes of one program that run at
  /// the same time; addresses are 127.NETWORK.x.y.
  Mesh(int network, std::vector<InstanceSpec> instances);
  ~Mesh();

  /// Founds the replicas, then starts all daemons and upstreams.
  void Start();

  void StartDaemon(const std::string& instance);
  void StartUpstream(const std::string& instance);
  ChildProcess& Daemon(const std::string& instance);
  ChildProcess& Upstream(const std::string& instance);

  /// Kills a process with SIGKILL.
  void KillDaemon(const std::string& instance);
  void KillUpstream(const std::string& instance);

  /// Deletes a replica's data folder; its daemon must be stopped.
  void WipeData(const std::string& instance);
  std::string DataFolder(const std::string& instance) const;
  std::string LogFile(const std::string& instance) const;

  /// @return "http://ip:port" of the daemon's listener for callers, of its
  /// listener for operators and of the upstream.
  std::string CallerUrl(const std::string& instance) const;
  std::string OperatorUrl(const std::string& instance) const;
  std::string UpstreamUrl(const std::string& instance) const;
  std::string IpOf(const std::string& instance) const;
  std::string DomainOfIp(const std::string& ip) const;

  /// Proposes a patch through a daemon.
  HttpAnswer Propose(const std::string& instance, const std::string& patch_id,
                     uint64_t base, const std::string& patch) const;

  /// @return the version in use at a daemon; nullopt when it does not answer.
  std::optional<uint64_t> VersionInUse(const std::string& instance) const;

  /// Waits until a condition holds.
  /// @return whether it held before the timeout.
  static bool Eventually(const std::function<bool()>& condition,
                         std::chrono::milliseconds timeout);

  /// Waits until all running daemons use version `number` or a later one.
  bool WaitForVersion(uint64_t number, std::chrono::milliseconds timeout) const;

  /// Waits until a daemon lists at least `count` serving upstreams.
  bool WaitForUpstreams(const std::string& instance, int count,
                        std::chrono::milliseconds timeout) const;

  /// @return the relay that all traffic between daemons goes through.
  Relay& LinkRelay() { return relay_; }

  /// @param sample name of the metric without the prefix "hibiscusglade_", and
  /// its labels if it has any.
  /// @return the value that a daemon exposes; 0 if the sample is absent.
  double Metric(const std::string& instance, const std::string& sample) const;

 private:
  struct Instance;

  void WriteSettings(const Instance& instance) const;
  const Instance& InstanceNamed(const std::string& name) const;

  int network_;
  NetworkLock lock_;
  std::string folder_;
  std::vector<std::unique_ptr<Instance>> instances_;
  Relay relay_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_TESTS_HARNESS_MESH_H_
