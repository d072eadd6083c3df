#include "settings/daemon_settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

#include "base/base_result_codes.h"

namespace hibiscusglade {
namespace {

NumberSpec PortSpec(std::string_view text) {
  return {1, 65535, 0, "port", text, true};
}

LogLevel LevelOf(const std::string& name) {
  if (name == "debug") return LogLevel::kDebug;
  if (name == "warning") return LogLevel::kWarning;
  if (name == "error") return LogLevel::kError;
  return LogLevel::kInfo;
}

ListenerSettings ReadListener(SettingsReader& reader) {
  ListenerSettings listener;
  listener.address = reader.IpAddress(
      "address", {"", "IP address to listen on, in figures.", true});
  listener.port =
      static_cast<uint16_t>(reader.Number("port", PortSpec("Port.")));
  return listener;
}

void ReadAdvertised(SettingsReader& peer, DaemonSettings& settings) {
  SettingsReader reader =
      peer.Object("advertised",
                  "Where other daemons reach this one, when a relay or "
                  "address translation stands between.");
  settings.advertised_address = reader.IpAddress(
      "address",
      {settings.peer_address, "IP address; that of the peer by default."});
  settings.advertised_control_port = static_cast<uint16_t>(
      reader.Number("control_port", {1, 65535, settings.control_port, "port",
                                     "Port; that of the peer by default."}));
  settings.advertised_request_port = static_cast<uint16_t>(
      reader.Number("request_port", {1, 65535, settings.request_port, "port",
                                     "Port; that of the peer by default."}));
}

void ReadPeer(SettingsReader reader, DaemonSettings& settings) {
  settings.peer_address = reader.IpAddress(
      "address", {"", "IP address for other daemons, in figures.", true});
  settings.control_port = static_cast<uint16_t>(
      reader.Number("control_port", PortSpec("Port of the control plane.")));
  settings.request_port = static_cast<uint16_t>(
      reader.Number("request_port", PortSpec("Port of the request plane.")));
  if (settings.control_port == settings.request_port &&
      settings.control_port != 0) {
    reader.Fault("request_port", "must differ from control_port");
  }
  ReadAdvertised(reader, settings);
  reader.Array("seeds", "Daemons to start from.", [&](SettingsReader& seed) {
    const ListenerSettings address = ReadListener(seed);
    settings.seeds.push_back(address.HostPort());
  });
}

void ReadReplicas(SettingsReader& reader, DaemonSettings& settings) {
  reader.Array("replicas", "All control replicas of the mesh.",
               [&](SettingsReader& item) {
                 Member member;
                 member.voter = true;
                 member.id.instance = item.Text(
                     "instance", {"", "Name of the replica's instance.", true});
                 member.failure_domain = item.Text(
                     "failure_domain", {"", "Its failure domain.", true});
                 member.address = ReadListener(item).HostPort();
                 settings.replicas.push_back(std::move(member));
               });
}

void CheckReplicaRole(SettingsReader& reader, const DaemonSettings& settings) {
  if (settings.replicas.empty()) {
    reader.Fault("replicas", "expected at least one control replica");
    return;
  }
  if (settings.data_folder.empty()) return;
  const bool listed = std::any_of(
      settings.replicas.begin(), settings.replicas.end(),
      [&](const Member& m) { return m.id.instance == settings.instance; });
  if (!listed) {
    reader.Fault("replicas",
                 "does not list this instance, which has a "
                 "replica's data folder");
  }
}

}  // namespace

DaemonSettings ReadDaemonSettings(SettingsReader& reader) {
  DaemonSettings settings;
  settings.mesh = reader.Text(
      "mesh", {"", "Name of the mesh; other meshes are refused.", true});
  settings.instance = reader.Text(
      "instance", {"", "Name of this instance, unique in the mesh.", true});
  settings.failure_domain = reader.Text(
      "failure_domain", {"", "Failure domain of this instance.", true});
  settings.region = reader.Text("region", {"", "Region of the instance."});
  ReadPeer(reader.Object("peer", "Other daemons."), settings);
  {
    SettingsReader callers = reader.Object("callers", "Callers' HTTP.");
    settings.callers = ReadListener(callers);
    settings.caller_threads = static_cast<uint32_t>(
        callers.Number("threads", {1, 64, 2, "threads", "Server threads."}));
    settings.max_caller_connections = static_cast<uint32_t>(callers.Number(
        "max_connections",
        {1, 100000, 1000, "connections", "Connections taken at once."}));
  }
  {
    SettingsReader operators = reader.Object("operators", "Operators' API.");
    settings.operators = ReadListener(operators);
  }
  {
    SettingsReader upstream = reader.Object("upstream", "Local upstream.");
    settings.announcements = ReadListener(upstream);
    settings.upstream_connections = static_cast<uint32_t>(upstream.Number(
        "max_connections",
        {1, 129, 100, "connections", "Connections to the upstream."}));
  }
  {
    SettingsReader replica = reader.Object("replica", "Replica role.");
    settings.data_folder = replica.Text(
        "data_folder", {"",
                        "Folder of the replica's state; a replica runs "
                        "here when it is set."});
  }
  ReadReplicas(reader, settings);
  {
    SettingsReader log = reader.Object("log", "Logs.");
    settings.log_level =
        LevelOf(log.Text("level", {"info",
                                   "Lowest level written.",
                                   false,
                                   {"debug", "info", "warning", "error"}}));
  }
  settings.stop_timeout_s = static_cast<uint32_t>(reader.Number(
      "stop_timeout_s", {1, 3600, 30, "s", "Longest planned stop."}));
  CheckReplicaRole(reader, settings);
  return settings;
}

SettingsLoad LoadDaemonSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return {std::nullopt,
            BaseCode::kSettingsUnreadable,
            {{"", "can't be read"}}};
  }
  std::ostringstream text;
  text << file.rdbuf();
  SettingsReader reader(text.str());
  // Fields of an unreadable text are not missing.
  if (!reader.Faults().empty()) {
    return {std::nullopt, BaseCode::kSettingsInvalid, reader.Faults()};
  }
  DaemonSettings settings = ReadDaemonSettings(reader);
  reader.Finish();
  if (!reader.Faults().empty()) {
    return {std::nullopt, BaseCode::kSettingsInvalid, reader.Faults()};
  }
  return {std::move(settings), {}, {}};
}

std::string DescribeDaemonSettings() {
  SettingsReader reader = SettingsReader::Describing();
  ReadDaemonSettings(reader);
  std::ostringstream out;
  out << "| place | type | unit | range | default | meaning |\n"
      << "|---|---|---|---|---|---|\n";
  for (const SettingDoc& doc : reader.Docs()) {
    out << "| `" << doc.pointer << "` | " << doc.type << " | " << doc.unit
        << " | " << doc.range << " | " << doc.default_value << " | " << doc.text
        << " |\n";
  }
  return out.str();
}

}  // namespace hibiscusglade
