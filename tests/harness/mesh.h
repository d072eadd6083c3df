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
#include "tests/harness/relay.h"

namespace hibiscusglade {

/// One daemon of a test's mesh and the upstream beside it.
struct SeatSpec {
  std::string instance;
  std::string failure_domain;
  std::string service;  ///< Empty for a daemon without an upstream.
  int slots = 6;
  bool replica = false;
  std::vector<std::string> upstream_flags;
};

/// Real daemons and stand-in upstreams on loopback addresses. Each daemon has
/// an IP address of its own; all traffic between daemons passes a relay.
class Mesh {
 public:
  /// @param network distinguishes meshes that run at the same time, 1 to 250;
  /// addresses are 127.NETWORK.x.y.
  Mesh(int network, std::vector<SeatSpec> seats);
  ~Mesh();

  /// Founds the replicas and starts everything.
  void Start();

  void StartDaemon(const std::string& instance);
  void StartUpstream(const std::string& instance);
  ChildProcess& Daemon(const std::string& instance);
  ChildProcess& Upstream(const std::string& instance);

  /// Ends a process at once, without notice.
  void KillDaemon(const std::string& instance);
  void KillUpstream(const std::string& instance);

  /// Empties a replica's data folder; the daemon must not run.
  void WipeData(const std::string& instance);
  std::string DataFolder(const std::string& instance) const;
  std::string LogFile(const std::string& instance) const;

  /// @return "http://ip:port" of a daemon's port for callers, operators.
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

  /// Waits until all running daemons use at least a version.
  bool WaitForVersion(uint64_t number, std::chrono::milliseconds timeout) const;

  /// Waits until a daemon knows a number of serving upstreams.
  bool WaitForUpstreams(const std::string& instance, int count,
                        std::chrono::milliseconds timeout) const;

  Relay& Links() { return relay_; }

  /// @return value of a metric line in a daemon's exposition; 0 if absent.
  double Metric(const std::string& instance, const std::string& line) const;

 private:
  struct Seat;

  void WriteSettings(const Seat& seat) const;
  const Seat& SeatOf(const std::string& instance) const;

  int network_;
  std::string folder_;
  std::vector<std::unique_ptr<Seat>> seats_;
  Relay relay_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_TESTS_HARNESS_MESH_H_
