#ifndef HIBISCUSGLADE_SETTINGS_DAEMON_SETTINGS_H_
#define HIBISCUSGLADE_SETTINGS_DAEMON_SETTINGS_H_

#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "base/log.h"
#include "base/settings_reader.h"
#include "consensus/types/consensus_types.h"

namespace hibiscusglade {

/// Protocols spoken with callers, upstreams and operators.
enum class ExternalInterfaceKind { kDefault, kPlatform };

/// Address and port of a listener; port 0 disables it.
struct ListenerSettings {
  std::string address;
  uint16_t port = 0;

  std::string HostPort() const { return address + ":" + std::to_string(port); }
  friend bool operator==(const ListenerSettings&,
                         const ListenerSettings&) = default;
};

/// All settings of one daemon.
struct DaemonSettings {
  std::string mesh;
  std::string instance;
  std::string failure_domain;
  std::string region;
  /// Of the deployment; empty: those of the known instances.
  std::vector<std::string> failure_domains;
  LogLevel log_level = LogLevel::kInfo;

  std::string peer_address;
  uint16_t control_port = 0;
  uint16_t request_port = 0;
  /// Address and ports that other daemons connect to.
  std::string advertised_address;
  uint16_t advertised_control_port = 0;
  uint16_t advertised_request_port = 0;
  std::vector<std::string> seeds;       ///< Control addresses, "ip:port".
  std::vector<std::string> seed_hosts;  ///< IP addresses among the seeds.
  /// Entries of lists that can't be used and were left out.
  std::vector<SettingsFault> ignored_entries;
  /// Protocol spoken with callers, upstreams and operators.
  ExternalInterfaceKind external_interface = ExternalInterfaceKind::kDefault;

  ListenerSettings callers;
  uint32_t caller_threads = 2;
  uint32_t max_caller_connections = 1000;
  ListenerSettings operators;
  ListenerSettings announcements;
  ListenerSettings readiness;  ///< Answers whether this daemon can serve.
  ListenerSettings metrics;    ///< The operators' API serves them, too.
  /// "ip:port" of the upstream beside this daemon; empty: the address that it
  /// announces.
  std::string local_upstream;
  std::string local_service;  ///< Service of the upstream beside this daemon.
  uint32_t upstream_connections = 100;
  double link_mbps = 0;  ///< Of this instance, in 10^6 bit/s; 0: unknown.

  std::string data_folder;       ///< Empty without the replica role.
  std::vector<Member> replicas;  ///< Initial control replicas.
  /// Whether a replica with an empty data folder founds a new mesh with the
  /// replicas above.
  bool founds_mesh = false;

  /// Time from the stop signal until when new requests must be able to end.
  uint32_t stop_timeout_s = 30;
  /// Time from the stop signal until the process is killed; 0: unknown.
  uint32_t kill_after_s = 0;
  /// Time from the stop signal until new requests are refused.
  uint32_t stop_notice_ms = 500;
  /// Disks of replicas that may be lost at the same time.
  uint32_t tolerated_losses = 1;
  bool serves_claims = true;  ///< Whether the replica keeps the claim ledger.

  std::string ControlAddress() const {
    return peer_address + ":" + std::to_string(control_port);
  }
  std::string RequestAddress() const {
    return peer_address + ":" + std::to_string(request_port);
  }
  std::string AdvertisedControlAddress() const {
    return advertised_address + ":" + std::to_string(advertised_control_port);
  }
  std::string AdvertisedRequestAddress() const {
    return advertised_address + ":" + std::to_string(advertised_request_port);
  }
  friend bool operator==(const DaemonSettings&,
                         const DaemonSettings&) = default;
};

/// Reads and checks every field; the reader collects the faults.
DaemonSettings ReadDaemonSettings(SettingsReader& reader);

/// Result of loading a settings file.
struct SettingsLoadResult {
  std::optional<DaemonSettings> settings;
  std::error_code error;  ///< kSettingsUnreadable or kSettingsInvalid.
  std::vector<SettingsFault> faults;
};

SettingsLoadResult LoadDaemonSettings(const std::string& path);

/// @return the table of all settings that docs/SETTINGS.md contains.
std::string DescribeDaemonSettings();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_SETTINGS_DAEMON_SETTINGS_H_
