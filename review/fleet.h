#ifndef HIBISCUSGLADE_REVIEW_FLEET_H_
#define HIBISCUSGLADE_REVIEW_FLEET_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace review {

/// One machine: a daemon, and on `sidecar` machines a server beside it.
struct Machine {
  std::string name;
  std::string ip;
  std::string zone;
  std::string service;  ///< Empty on `core` machines.
  bool bootstrap = true;
  pid_t daemon = -1;
  pid_t server = -1;
  int garble_every = 0;        ///< See ServerSettings.
  int lifetimes = 0;           ///< Of the server.
  int64_t server_down_ms = 0;  ///< When its process was found to have ended.
};

/// Ports, the same on all machines.
struct Ports {
  uint16_t control = 0;
  uint16_t outbound = 0;
  uint16_t ready = 0;
  uint16_t app = 0;
  uint16_t internal = 0;
};

/// A small deployment on loopback addresses, started with the commands of the
/// deploy file. Its destructor ends all processes.
class Fleet {
 public:
  /// @param folder of the settings, data and logs.
  Fleet(std::string daemon, std::string folder);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  void AddCore(const std::string& zone);
  void AddSidecar(const std::string& zone, const std::string& service);

  void StartDaemon(Machine& machine);
  void StartServer(Machine& machine);
  /// Sends SIGTERM to a daemon, and SIGKILL after `grace_s`.
  void StopDaemon(Machine& machine);
  void KillDaemon(Machine& machine);
  /// Starts servers again that ended some seconds ago.
  void RestartEndedServers(int64_t after_ms);

  /// Sends a configuration until it is acknowledged.
  /// @return whether it was before the deadline.
  bool Configure(const std::string& body, int64_t deadline_ms);
  /// @return whether all daemons beside servers say that they are ready.
  bool AllReady();

  /// @return a file in the folder; see ServerSettings::garble_flag.
  std::string GarbleFlag() const { return folder_ + "/garble"; }
  /// @return see ServerSettings::leave_flag.
  std::string LeaveFlag(const Machine& machine) const {
    return folder_ + "/leave-" + machine.name;
  }

  std::vector<Machine>& Machines() { return machines_; }
  const Ports& AllPorts() const { return ports_; }

 private:
  void ChoosePorts();
  std::string SettingsOf(const Machine& machine) const;
  std::string NextIp();

  std::string daemon_;
  std::string folder_;
  Ports ports_;
  std::string prefix_;
  std::vector<Machine> machines_;
};

/// What a server stand-in needs to know.
struct ServerSettings {
  std::string ip;
  uint16_t app_port = 0;
  uint16_t control_port = 0;
  std::string service;
  std::string zone;
  std::string id;
  int slots = 6;
  int work_ms = 20;
  /// While the file `garble_flag` exists, the server breaks off each
  /// `garble_every`th of its answers above 100,000 bytes halfway; 0: none.
  int garble_every = 0;
  std::string garble_flag;
  /// Once this file exists, the server deregisters, without having said that it
  /// drains. It goes on serving for some seconds, then it ends. Its last
  /// check-in arrives a second time, 4 s late.
  std::string leave_flag;
  int64_t heartbeat_ms = 1500;
};

/// Runs a server until its process is ended. A request whose path contains
/// "/crash" ends the process when it begins to run it. The answer to one whose
/// path contains "/archive" has 200,000 bytes.
[[noreturn]] void RunServer(const ServerSettings& settings);

}  // namespace review

#endif  // HIBISCUSGLADE_REVIEW_FLEET_H_
