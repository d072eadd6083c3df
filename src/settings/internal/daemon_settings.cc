#include "settings/daemon_settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <utility>

#include "base/base_result_codes.h"
#include "base/socket_address.h"

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

/// Reads `address` and `port`, or both in one as `host_port`.
ListenerSettings ReadListener(SettingsReader& reader) {
  ListenerSettings listener;
  const std::string text = reader.Text(
      "host_port", {"", "\"ip:port\", in place of address and port."});
  const bool apart = text.empty();
  listener.address = reader.IpAddress(
      "address", {"", "IP address to listen on, in figures.", apart});
  listener.port = static_cast<uint16_t>(
      reader.Number("port", {1, 65535, 0, "port", "Port.", apart}));
  if (apart) return listener;
  if (!listener.address.empty() || listener.port != 0) {
    reader.Fault("host_port", "stands beside address or port; give one form");
  }
  const auto parsed = ParseSocketAddress(text);
  if (!parsed.has_value() || parsed->sin_port == 0) {
    reader.Fault("host_port", "expected ip:port, found \"" + text + "\"");
    return listener;
  }
  return {text.substr(0, text.rfind(':')), ntohs(parsed->sin_port)};
}

/// Reads a listener that may be left out.
ListenerSettings ReadOptionalListener(SettingsReader& parent,
                                      std::string_view name,
                                      std::string_view text) {
  if (!parent.Has(name)) return {};
  SettingsReader reader = parent.Object(name, text);
  return ReadListener(reader);
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
  // Every daemon of such a mesh has its control plane at the same port.
  const TextSpec hosts{"",
                       "Instances to start from, as ip or ip:port; their "
                       "control plane is at this daemon's control port."};
  for (const std::string& host : reader.Texts("seed_hosts", hosts)) {
    const std::string ip = host.substr(0, host.find(':'));
    settings.seed_hosts.push_back(ip);
    settings.seeds.push_back(ip + ":" + std::to_string(settings.control_port));
  }
}

void ReadReplicas(SettingsReader& reader, DaemonSettings& settings) {
  reader.Array(
      "replicas", "Control replicas to start from.", [&](SettingsReader& item) {
        Member member;
        member.voter = true;
        member.id.instance = item.Text(
            "instance", {"", "Name of the replica's instance.", true});
        member.failure_domain =
            item.Text("failure_domain", {"", "Its failure domain.", true});
        member.address = ReadListener(item).HostPort();
        settings.replicas.push_back(std::move(member));
      });
}

/// Replicas that are known by their addresses alone are named by them.
void TakeSeedsAsReplicas(DaemonSettings& settings) {
  for (size_t i = 0; i < settings.seed_hosts.size(); ++i) {
    Member member;
    member.voter = true;
    member.id.instance = settings.seed_hosts[i];
    member.address = settings.seeds[i];
    settings.replicas.push_back(std::move(member));
  }
}

void CheckReplicaRole(SettingsReader& reader, const DaemonSettings& settings) {
  // Replicas told by seeds change: this one may not be among them.
  if (!settings.seed_hosts.empty()) return;
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
  settings.outside =
      reader.Text("interface", {"own",
                                "What callers, upstreams and operators meet.",
                                false,
                                {"own", "platform"}}) == "platform"
          ? OutsideInterfaceKind::kPlatform
          : OutsideInterfaceKind::kOwn;
  if (reader.Has("callers")) {
    SettingsReader callers =
        reader.Object("callers", "Callers' HTTP; none is served without it.");
    settings.callers = ReadListener(callers);
    settings.caller_threads = static_cast<uint32_t>(callers.Number(
        "threads", {1, 64, 2, "threads", "No effect; from older releases."}));
    settings.max_caller_connections = static_cast<uint32_t>(callers.Number(
        "max_connections",
        {1, 100000, 1000, "connections", "Connections taken at once."}));
  }
  settings.operators =
      ReadOptionalListener(reader, "operators", "Operators' API.");
  settings.readiness = ReadOptionalListener(
      reader, "readiness", "Answers GET with 200 while callers are served.");
  settings.metrics =
      ReadOptionalListener(reader, "metrics", "Metrics as text at /metrics.");
  if (reader.Has("upstream")) {
    SettingsReader upstream = reader.Object(
        "upstream", "Announcements of the local upstream; none without it.");
    settings.announcements = ReadListener(upstream);
    settings.local_upstream =
        upstream.Text("upstream_address",
                      {"",
                       "Its \"ip:port\"; an announcement of another one is "
                       "not taken. Empty: as it announces."});
    settings.local_service = upstream.Text(
        "service", {"", "Service it runs, told of requests from here."});
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
    settings.serves_claims = replica.Flag(
        "claims", true,
        "Whether it keeps the ledger of claims; the same at all replicas.");
    settings.founds_mesh = replica.Flag(
        "founds_mesh", false,
        "Whether an empty folder is founded with the replicas named here; "
        "true at the first start of a new mesh only.");
  }
  ReadReplicas(reader, settings);
  if (settings.replicas.empty()) TakeSeedsAsReplicas(settings);
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
  settings.stop_notice_ms = static_cast<uint32_t>(reader.Number(
      "stop_notice_ms", {0, 60'000, 500, "ms",
                         "Time for peers and callers to learn of a planned "
                         "stop before new work is refused."}));
  CheckReplicaRole(reader, settings);
  return settings;
}

SettingsLoad LoadDaemonSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return {
        std::nullopt, BaseCode::kSettingsUnreadable, {{"", "can't be read"}}};
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
