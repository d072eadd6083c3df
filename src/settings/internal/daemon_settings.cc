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

LogLevel LogLevelOf(const std::string& name) {
  if (name == "debug") return LogLevel::kDebug;
  if (name == "warning") return LogLevel::kWarning;
  if (name == "error") return LogLevel::kError;
  return LogLevel::kInfo;
}

constexpr std::string_view kListenAddress = "Numeric IP address to listen on.";

/// Reads either `address` and `port` or the combined `host_port`.
/// @param address_text describes `address`.
ListenerSettings ReadListener(SettingsReader& reader,
                              std::string_view address_text = kListenAddress) {
  ListenerSettings listener;
  const std::string text = reader.Text(
      "host_port", {"", "\"ip:port\", instead of address and port."});
  const bool separate = text.empty();
  listener.address = reader.IpAddress("address", {"", address_text, separate});
  listener.port = static_cast<uint16_t>(
      reader.Number("port", {1, 65535, 0, "port", "Port.", separate}));
  if (separate) return listener;
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

/// @return the listener's settings; port 0 when the file has none.
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
                  "Address and ports that other daemons connect to, when "
                  "they reach this one through a relay or address "
                  "translation.");
  settings.advertised_address = reader.IpAddress(
      "address", {settings.peer_address,
                  "IP address; by default that of the peer listener."});
  settings.advertised_control_port = static_cast<uint16_t>(reader.Number(
      "control_port", {1, 65535, settings.control_port, "port",
                       "Port; by default that of the peer listener."}));
  settings.advertised_request_port = static_cast<uint16_t>(reader.Number(
      "request_port", {1, 65535, settings.request_port, "port",
                       "Port; by default that of the peer listener."}));
}

/// @return the IP address in "ip" or "ip:port"; nullopt for any other text.
std::optional<std::string> SeedIpOf(const std::string& text) {
  const size_t colon = text.find(':');
  const auto parsed =
      ParseSocketAddress(colon == std::string::npos ? text + ":1" : text);
  if (!parsed.has_value() || parsed->sin_port == 0) return std::nullopt;
  return text.substr(0, colon);
}

/// A mesh that is set up with seed_hosts has the same control port everywhere.
void ReadSeedHosts(SettingsReader& reader, DaemonSettings& settings) {
  const std::vector<std::string> hosts = reader.Texts(
      "seed_hosts", {"",
                     "Instances to contact first, as ip or ip:port; this "
                     "daemon's control port is used instead of that port. "
                     "Others are left out with a warning."});
  for (size_t i = 0; i < hosts.size(); ++i) {
    const auto ip = SeedIpOf(hosts[i]);
    if (!ip.has_value()) {
      settings.ignored_entries.push_back(
          {"/peer/seed_hosts/" + std::to_string(i),
           "expected ip or ip:port, found \"" + hosts[i] + "\""});
      continue;
    }
    settings.seed_hosts.push_back(*ip);
    settings.seeds.push_back(*ip + ":" + std::to_string(settings.control_port));
  }
}

void ReadPeer(SettingsReader reader, DaemonSettings& settings) {
  settings.peer_address = reader.IpAddress(
      "address",
      {"", "Numeric IP address to listen on for other daemons.", true});
  settings.control_port = static_cast<uint16_t>(
      reader.Number("control_port", PortSpec("Port of the control plane.")));
  settings.request_port = static_cast<uint16_t>(
      reader.Number("request_port", PortSpec("Port of the request plane.")));
  if (settings.control_port == settings.request_port &&
      settings.control_port != 0) {
    reader.Fault("request_port", "must differ from control_port");
  }
  ReadAdvertised(reader, settings);
  reader.Array("seeds", "Daemons to contact first.", [&](SettingsReader& seed) {
    const ListenerSettings address =
        ReadListener(seed, "Numeric IP address of the daemon.");
    settings.seeds.push_back(address.HostPort());
  });
  ReadSeedHosts(reader, settings);
}

void ReadReplicas(SettingsReader& reader, DaemonSettings& settings) {
  reader.Array(
      "replicas", "Initial control replicas.", [&](SettingsReader& item) {
        Member member;
        member.voter = true;
        member.id.instance = item.Text(
            "instance", {"", "Name of the replica's instance.", true});
        member.failure_domain =
            item.Text("failure_domain", {"", "Its failure domain.", true});
        member.address =
            ReadListener(item, "Numeric IP address of the replica.").HostPort();
        settings.replicas.push_back(std::move(member));
      });
}

/// Uses the hosts of seed_hosts as the replicas. Only their IP addresses are
/// known, so these serve as the instance names, too.
void UseSeedHostsAsReplicas(DaemonSettings& settings) {
  for (size_t i = 0; i < settings.seed_hosts.size(); ++i) {
    Member member;
    member.voter = true;
    member.id.instance = settings.seed_hosts[i];
    member.address = settings.seeds[i];
    settings.replicas.push_back(std::move(member));
  }
}

void CheckReplicaRole(SettingsReader& reader, const DaemonSettings& settings) {
  // The replicas in seed_hosts may change, so that the list need not contain
  // this instance.
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
      "mesh",
      {"", "Name of the mesh; daemons of other meshes are refused.", true});
  settings.instance = reader.Text(
      "instance", {"", "Name of this instance, unique in the mesh.", true});
  settings.failure_domain = reader.Text(
      "failure_domain", {"", "Failure domain of this instance.", true});
  settings.region = reader.Text("region", {"", "Region of the instance."});
  settings.failure_domains = reader.Texts(
      "failure_domains",
      {"",
       "All failure domains of the deployment; each holds an equal share of "
       "customers' limits. Empty: those of the instances that are known."});
  ReadPeer(reader.Object("peer", "Connections with other daemons."), settings);
  settings.external_interface =
      reader.Text("interface", {"own",
                                "Protocol spoken with callers, upstreams and "
                                "operators.",
                                false,
                                {"own", "platform"}}) == "platform"
          ? ExternalInterfaceKind::kPlatform
          : ExternalInterfaceKind::kDefault;
  if (reader.Has("callers")) {
    SettingsReader callers =
        reader.Object("callers", "HTTP listener for callers; none without it.");
    settings.callers = ReadListener(callers);
    settings.caller_threads = static_cast<uint32_t>(callers.Number(
        "threads", {1, 64, 2, "threads", "No effect; from older releases."}));
    settings.max_caller_connections = static_cast<uint32_t>(callers.Number(
        "max_connections", {1, 100000, 1000, "connections",
                            "Maximum concurrent connections of callers."}));
  }
  settings.operators = ReadOptionalListener(reader, "operators",
                                            "Listener of the operators' API.");
  settings.readiness = ReadOptionalListener(
      reader, "readiness",
      "Listener that answers GET with 200 while callers are served.");
  settings.metrics = ReadOptionalListener(
      reader, "metrics", "Listener that serves metrics as text at /metrics.");
  if (reader.Has("upstream")) {
    SettingsReader upstream = reader.Object(
        "upstream",
        "Listener for announcements of the local upstream; none without it.");
    settings.announcements = ReadListener(upstream);
    settings.local_upstream =
        upstream.Text("upstream_address",
                      {"",
                       "The upstream's \"ip:port\"; announcements with another "
                       "address are ignored. Empty: the announced address."});
    settings.local_service = upstream.Text(
        "service", {"",
                    "Service of the upstream; named as the origin of the "
                    "requests that callers send to this daemon."});
    settings.upstream_connections = static_cast<uint32_t>(upstream.Number(
        "max_connections",
        {1, 129, 100, "connections", "Maximum connections to the upstream."}));
  }
  settings.link_mbps = reader.Decimal(
      "link_mbps",
      {0, 1'000'000, 0, "10^6 bit/s",
       "Rate of this instance's link to other instances. Answers are sent at "
       "this rate, and what it can't carry in time is refused. 0: unknown, no "
       "limit."});
  const auto descriptors = static_cast<uint32_t>(reader.Number(
      "max_descriptors",
      {0, 10'000'000, 0, "descriptors",
       "Descriptors that this process may use. Callers' connections get at "
       "most three quarters of them. 0: unknown."}));
  if (descriptors > 0) {
    settings.max_caller_connections = std::min(
        settings.max_caller_connections, std::max(1U, descriptors * 3 / 4));
  }
  {
    SettingsReader replica =
        reader.Object("replica", "Control replica on this instance.");
    settings.data_folder = replica.Text(
        "data_folder", {"",
                        "Folder of the replica's state; a replica runs "
                        "here when it is set."});
    settings.serves_claims = replica.Flag(
        "claims", true,
        "Whether the replica keeps the claim ledger; must be the same at all "
        "replicas.");
    settings.tolerated_losses = static_cast<uint32_t>(replica.Number(
        "tolerated_losses",
        {0, 100, 1, "replicas",
         "Replicas whose disks may be lost at the same time. A group that has "
         "more than twice as many voters and one takes out those that stop or "
         "fall silent; must be the same at all replicas."}));
    settings.founds_mesh = replica.Flag(
        "founds_mesh", false,
        "Whether a replica with an empty data folder founds a new mesh with "
        "the replicas named here; true only at the first start of a mesh.");
  }
  ReadReplicas(reader, settings);
  if (settings.replicas.empty()) UseSeedHostsAsReplicas(settings);
  {
    SettingsReader log = reader.Object("log", "Logs.");
    settings.log_level =
        LogLevelOf(log.Text("level", {"info",
                                      "Lowest level that is logged.",
                                      false,
                                      {"debug", "info", "warning", "error"}}));
  }
  settings.stop_timeout_s = static_cast<uint32_t>(reader.Number(
      "stop_timeout_s",
      {1, 3600, 30, "s",
       "Time from the stop signal until which new requests must be able to "
       "end: those whose deadline is later are refused from the signal on. "
       "What runs then is waited for until its own deadline."}));
  settings.kill_after_s = static_cast<uint32_t>(reader.Number(
      "kill_after_s",
      {0, 3600, 0, "s",
       "Time from the stop signal until the process is killed. What still runs "
       "after five sixths of it gets a final answer, and stop_timeout_s is no "
       "longer than that. 0: unknown; open requests have only their own "
       "deadlines."}));
  settings.stop_notice_ms = static_cast<uint32_t>(
      reader.Number("stop_notice_ms",
                    {0, 60'000, 500, "ms",
                     "Time from the stop signal until new requests are "
                     "refused; peers and callers are notified meanwhile."}));
  CheckReplicaRole(reader, settings);
  return settings;
}

SettingsLoadResult LoadDaemonSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return {
        std::nullopt, BaseCode::kSettingsUnreadable, {{"", "can't be read"}}};
  }
  std::ostringstream text;
  text << file.rdbuf();
  SettingsReader reader(text.str());
  // Stop here, or every required field would be reported as missing.
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
  SettingsReader reader = SettingsReader::ForDescription();
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
