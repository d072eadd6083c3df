#ifndef HIBISCUSGLADE_REVIEW_6_DEPLOYMENT_H_
#define HIBISCUSGLADE_REVIEW_6_DEPLOYMENT_H_

#include <sys/types.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/6/net.h"

namespace hibiscusglade::review {

/// Ports, the same on all machines.
struct Ports {
  uint16_t control_plane = 0;  ///< Of the first of two internal ports.
  uint16_t outbound = 0;
  uint16_t control = 0;
  uint16_t ready = 0;
  uint16_t app = 0;
  uint16_t metrics = 0;
};

/// A machine with one daemon.
struct Machine {
  std::string ip;
  std::string zone;
  std::string service;  ///< Empty: of the core.
  pid_t process = -1;
  int ends = 0;             ///< For its use of memory.
  bool first_start = true;  ///< Of the whole system, with empty disks.
};

/// A small deployment on loopback addresses: a core machine in each of three
/// zones, and sidecar machines.
class Deployment {
 public:
  /// @param services of the sidecar machines, which are spread over the zones.
  Deployment(std::string daemon, std::string folder,
             const std::vector<std::string>& services, Record& record);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  bool Start();

  const std::vector<Machine>& Sidecars() const { return sidecars_; }
  std::vector<Machine>& Core() { return core_; }

  /// Adds a core machine at a new address, with an empty disk.
  bool AddCore(const std::string& zone);

  /// Ends a daemon by SIGTERM, and by SIGKILL after the time of grace.
  void Stop(Machine& machine, int64_t grace_ms);

  void Kill(Machine& machine);

  /// Kills, as the platform does, each sidecar's daemon that uses more memory,
  /// and starts it again.
  /// @return the most that one has used, in bytes.
  uint64_t RestartThoseAbove(uint64_t max_bytes);

  /// Starts a daemon again at its address, with an empty disk.
  bool RestartWithoutDisk(Machine& machine);
  const Ports& PortNumbers() const { return ports_; }

  /// Sends a configuration to one core machine after the other until one
  /// answers clearly.
  /// @return the status of the answer.
  int SendConfig(const std::string& config);

  /// @return the answer of a core machine to a read of the configuration.
  Message ReadConfig(const Machine& machine);

  /// @return whether all sidecars say that they are ready.
  bool WaitUntilReady(int64_t timeout_ms);

 private:
  bool Begin(Machine& machine);
  std::string SettingsOf(const Machine& machine) const;

  std::string daemon_;
  std::string folder_;
  Record& record_;
  Ports ports_;
  std::string net_;
  std::vector<std::string> seeds_;
  std::vector<Machine> core_;
  std::vector<Machine> sidecars_;
};

class Server;

/// What a server does with a request that it has begun to work on.
enum class Outcome { kAnswer, kReset };

/// A server of the platform's kind, beside one daemon.
class Server {
 public:
  /// @return milliseconds of work.
  using Work = std::function<int64_t(const Message&)>;
  using Ending = std::function<Outcome(const Message&)>;

  Server(std::string id, const Machine& machine, const Ports& ports,
         Record& record);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Set before Start().
  Work work = [](const Message&) { return 1; };
  Ending ending = [](const Message&) { return Outcome::kAnswer; };
  std::function<void(const Message&)> on_run = [](const Message&) {};

  bool Start();

 private:
  void Accept();
  void Serve(int descriptor);
  bool Answer(int descriptor, const Message& request);
  void CheckIn();
  void Beat();

  std::string id_;
  Machine machine_;
  Ports ports_;
  Record& record_;
  int64_t born_ms_;
  std::atomic<int> sequence_{0};
  std::atomic<bool> stopping_{false};
  int listener_ = -1;
  std::vector<std::thread> threads_;
};

}  // namespace hibiscusglade::review

#endif  // HIBISCUSGLADE_REVIEW_6_DEPLOYMENT_H_
