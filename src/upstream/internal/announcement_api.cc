#include "upstream/announcement_api.h"

#include <nlohmann/json.hpp>

#include "base/settings_faults.h"
#include "base/settings_reader.h"
#include "upstream/upstream_result_codes.h"

namespace hibiscusglade {
namespace {

using nlohmann::json;

constexpr int64_t kMaxSlots = 10000;
constexpr char kPath[] = "/v1/announcement";

HttpResponse ErrorResponse(UpstreamCode code, const json& faults) {
  const std::error_code error = code;
  const json body = {{"code", error.value()},
                     {"message", error.message()},
                     {"faults", faults}};
  return {FindResultCode(error)->http_status, "application/json",
          body.dump() + "\n"};
}

UpstreamState StateOf(const std::string& name) {
  if (name == "starting") return UpstreamState::kStarting;
  if (name == "draining") return UpstreamState::kDraining;
  return UpstreamState::kServing;
}

UpstreamAnnouncement ReadAnnouncement(SettingsReader& reader) {
  UpstreamAnnouncement upstream;
  upstream.service =
      reader.Text("service", {"", "Service that the upstream runs.", true});
  const std::string ip =
      reader.IpAddress("address", {"", "IP address of the upstream.", true});
  const int64_t port = reader.Number(
      "port", {1, 65535, 0, "port", "Port of the upstream.", true});
  upstream.address = ip + ":" + std::to_string(port);
  upstream.slots = static_cast<uint32_t>(reader.Number(
      "slots", {1, kMaxSlots, 1, "requests",
                "Requests the upstream can run at the same time.", true}));
  upstream.connections = static_cast<uint32_t>(reader.Number(
      "connections",
      {1, kMaxSlots, 130, "connections", "Connections the upstream accepts."}));
  upstream.state =
      StateOf(reader.Text("state", {"serving",
                                    "State of the upstream.",
                                    false,
                                    {"starting", "serving", "draining"}}));
  upstream.software_version = reader.Text(
      "version", {"", "Version of the upstream's software, for rollouts."});
  reader.Finish();
  return upstream;
}

HttpResponse Acknowledgement(bool in_effect) {
  if (in_effect) return {200, "application/json", "{}\n"};
  return ErrorResponse(UpstreamCode::kNotInEffect, json::array());
}

}  // namespace

HttpResponse AnswerAnnouncement(AnnouncementSink& sink,
                                const HttpRequest& request) {
  if (request.path != kPath) {
    return ErrorResponse(UpstreamCode::kUnknownResource, json::array());
  }
  if (request.method == "DELETE") {
    return Acknowledgement(sink.Deregister("", 0));
  }
  if (request.method != "PUT") {
    return ErrorResponse(UpstreamCode::kUnknownResource, json::array());
  }
  SettingsReader reader(request.body);
  const UpstreamAnnouncement upstream = ReadAnnouncement(reader);
  if (reader.Faults().empty()) {
    return Acknowledgement(sink.Announce(upstream));
  }
  return ErrorResponse(UpstreamCode::kMalformedAnnouncement,
                       FaultsJson(reader.Faults()));
}

}  // namespace hibiscusglade
