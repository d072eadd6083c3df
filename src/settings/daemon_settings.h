#ifndef HIBISCUSGLADE_SETTINGS_DAEMON_SETTINGS_H_
#define HIBISCUSGLADE_SETTINGS_DAEMON_SETTINGS_H_

#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "consensus/types/consensus_types.h"
#include "base/log.h"
#include "base/settings_reader.h"

namespace hibiscusglade {

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
  std::vector<std::string> seeds;  ///< Control addresses, "ip:port".

  ListenerSettings callers;
  uint32_t caller_threads = 2;
  uint32_t max_caller_connections = 1000;
  ListenerSettings operators;
  ListenerSettings announcements;
  uint32_t upstream_connections = 100;

  std::string data_folder;       ///< Empty without the replica role.
  std::vector<Member> replicas;  ///< All control replicas of the mesh.

  uint32_t stop_timeout_s = 30;

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
