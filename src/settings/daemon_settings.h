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

/// Interfaces towards callers, upstreams and operators.
enum class OutsideInterfaceKind { kOwn, kPlatform };

/// Where to listen; port 0 means that nothing listens.
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
  LogLevel log_level = LogLevel::kInfo;

  std::string peer_address;
  uint16_t control_port = 0;
  uint16_t request_port = 0;
  std::string advertised_address;  ///< Where other daemons connect to.
  uint16_t advertised_control_port = 0;
  uint16_t advertised_request_port = 0;
  std::vector<std::string> seeds;       ///< Control addresses, "ip:port".
  std::vector<std::string> seed_hosts;  ///< IP addresses among the seeds.
  /// Which interface callers, upstreams and operators meet.
  OutsideInterfaceKind outside = OutsideInterfaceKind::kOwn;

  ListenerSettings callers;
  uint32_t caller_threads = 2;
  uint32_t max_caller_connections = 1000;
  ListenerSettings operators;
  ListenerSettings announcements;
  ListenerSettings readiness;  ///< Answers whether this daemon can serve.
  ListenerSettings metrics;    ///< Metrics alone; operators' API has them too.
  std::string local_upstream;  ///< Its "ip:port"; empty: as it announces.
  std::string local_service;   ///< Service of the upstream beside this daemon.
  uint32_t upstream_connections = 100;

  std::string data_folder;       ///< Empty without the replica role.
  std::vector<Member> replicas;  ///< Control replicas to start from.
  /// Whether the replicas above found a new mesh where their folders are empty.
  bool founds_mesh = false;

  uint32_t stop_timeout_s = 30;
  uint32_t stop_notice_ms = 500;  ///< From the signal to the first refusal.
  bool serves_claims = true;      ///< The replica keeps the claims as well.

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

/// Reads and checks every field; faults are collected in the reader.
DaemonSettings ReadDaemonSettings(SettingsReader& reader);

/// Outcome of loading a settings file.
struct SettingsLoad {
  std::optional<DaemonSettings> settings;
  std::error_code error;  ///< kSettingsUnreadable or kSettingsInvalid.
  std::vector<SettingsFault> faults;
};

/// Loads a settings file.
SettingsLoad LoadDaemonSettings(const std::string& path);

/// @return the table of all settings for docs/SETTINGS.md.
std::string DescribeDaemonSettings();

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_SETTINGS_DAEMON_SETTINGS_H_
