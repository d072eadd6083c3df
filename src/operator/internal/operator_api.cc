#include "operator/operator_api.h"

#include <charconv>
#include <limits>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "base/metrics.h"
#include "base/settings_faults.h"
#include "operator/internal/rollout_api.h"
#include "operator/operator_result_codes.h"
#include "versions/config_reader.h"
#include "versions/versions_result_codes.h"

namespace hibiscusglade {
namespace {

using nlohmann::json;

constexpr char kMetricsType[] = "text/plain; version=0.0.4";
constexpr uint32_t kDefaultHistoryRows = 20;
constexpr uint32_t kMaxHistoryRows = 100'000;

HttpResponse JsonResponse(int status, const json& body) {
  return {status, "application/json",
          body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"};
}

json ErrorJson(const std::error_code& error) {
  json body = {{"code", error.value()}, {"message", error.message()}};
  const ResultCodeInfo* info = FindResultCode(error);
  if (info != nullptr) {
    body["name"] = info->name;
    body["outcome"] = CertaintyName(info->certainty);
  }
  return body;
}

int StatusOf(const std::error_code& error) {
  const ResultCodeInfo* info = FindResultCode(error);
  return info == nullptr ? 500 : info->http_status;
}

HttpResponse ErrorResponse(const std::error_code& error,
                           const std::string& detail = "") {
  json body = ErrorJson(error);
  if (!detail.empty()) body["detail"] = detail;
  return JsonResponse(StatusOf(error), body);
}

HttpResponse VerdictResponse(const ProposalVerdict& verdict) {
  if (!verdict.error) {
    return JsonResponse(
        200, {{"number", verdict.number}, {"latest", verdict.latest}});
  }
  json body = ErrorJson(verdict.error);
  body["latest"] = verdict.latest;
  body["faults"] = FaultsJson(verdict.faults);
  return JsonResponse(StatusOf(verdict.error), body);
}

json VersionJson(const VersionRow& row) {
  json out = {{"number", row.number}, {"parent", row.parent},
              {"digest", row.digest}, {"patch_id", row.patch_id},
              {"author", row.author}, {"accepted_at", row.accepted_at}};
  if (!row.text.empty()) out["document"] = json::parse(row.text);
  return out;
}

/// Parses a text of decimal digits.
/// @return nullopt when the text is not a number or the number is above
/// `max_number`.
std::optional<uint64_t> ParseNumber(
    const std::string& text,
    uint64_t max_number = std::numeric_limits<int64_t>::max()) {
  uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size() ||
      number > max_number) {
    return std::nullopt;
  }
  return number;
}

PatchProposal ReadProposal(SettingsReader& reader) {
  PatchProposal proposal;
  proposal.patch_id = reader.Text(
      "patch_id",
      {"", "Unique id, so that the request can be resent safely.", true});
  proposal.base = static_cast<uint64_t>(
      reader.Number("base", {0, INT64_MAX, 0, "version",
                             "Version that the patch applies to.", true}));
  proposal.author = reader.Text("author", {"", "Author of the proposal."});
  proposal.restore_content_of = static_cast<uint64_t>(reader.Number(
      "restore_content_of", {0, INT64_MAX, 0, "version",
                             "Older version whose content is restored."}));
  proposal.patch = reader.Json("patch", "RFC 6902 patch.");
  if (proposal.patch.empty()) proposal.patch = "[]";
  if (proposal.patch[0] != '[') {
    reader.Fault("patch", "expected an array of patch operations");
  }
  reader.Finish();
  return proposal;
}

HttpResponse Propose(OperatorBackend& backend, const std::string& body) {
  SettingsReader reader(body);
  const PatchProposal proposal = ReadProposal(reader);
  if (reader.Faults().empty()) {
    return VerdictResponse(backend.Propose(proposal));
  }
  const std::error_code error = OperatorCode::kMalformedRequest;
  json refusal = ErrorJson(error);
  refusal["faults"] = FaultsJson(reader.Faults());
  return JsonResponse(StatusOf(error), refusal);
}

HttpResponse Version(OperatorBackend& backend, const std::string& name) {
  const auto number = name == "latest" ? uint64_t{0} : ParseNumber(name);
  if (!number.has_value()) {
    return ErrorResponse(OperatorCode::kMalformedRequest,
                         "expected a version number or latest");
  }
  VersionRows versions = backend.Version(*number);
  if (versions.error) return ErrorResponse(versions.error);
  return JsonResponse(200, VersionJson(versions.rows.front()));
}

HttpResponse History(OperatorBackend& backend, const HttpRequest& request) {
  uint32_t max_rows = kDefaultHistoryRows;
  auto parameter = request.query.find("most");
  if (parameter != request.query.end()) {
    const auto number = ParseNumber(parameter->second, kMaxHistoryRows);
    if (!number.has_value()) {
      return ErrorResponse(
          OperatorCode::kMalformedRequest,
          "most: expected a number up to " + std::to_string(kMaxHistoryRows));
    }
    max_rows = static_cast<uint32_t>(*number);
  }
  VersionRows versions = backend.History(max_rows);
  if (versions.error) return ErrorResponse(versions.error);
  json rows = json::array();
  for (const VersionRow& row : versions.rows) rows.push_back(VersionJson(row));
  return JsonResponse(200, rows);
}

HttpResponse InForce(OperatorBackend& backend, const std::string& name) {
  const auto number = ParseNumber(name);
  if (!number.has_value()) {
    return ErrorResponse(OperatorCode::kMalformedRequest,
                         "expected a version number");
  }
  json domains = json::array();
  bool everywhere = true;
  for (const DomainProgress& progress : backend.InForce(*number)) {
    everywhere = everywhere && progress.reachable &&
                 progress.in_force == progress.daemons;
    domains.push_back({{"failure_domain", progress.failure_domain},
                       {"daemons", progress.daemons},
                       {"in_force", progress.in_force},
                       {"lagging", progress.lagging},
                       {"reachable", progress.reachable}});
  }
  return JsonResponse(
      200,
      {{"number", *number}, {"everywhere", everywhere}, {"domains", domains}});
}

HttpResponse Instances(OperatorBackend& backend) {
  json rows = json::array();
  for (const InstanceRecord& record : backend.Instances()) {
    rows.push_back({{"instance", record.instance},
                    {"failure_domain", record.failure_domain},
                    {"state", NameOf(record.state)},
                    {"service", record.service},
                    {"slots", record.slots},
                    {"upstream", NameOf(record.upstream_state)},
                    {"version_in_use", record.version_in_use},
                    {"replica", record.replica}});
  }
  return JsonResponse(200, rows);
}

/// Answers with what the latest version says of customers, without digests.
HttpResponse Customers(OperatorBackend& backend) {
  const VersionRows versions = backend.Version(0);
  if (versions.error) return ErrorResponse(versions.error);
  const VersionRow& latest = versions.rows.front();
  const auto document = ParseConfigDocument(latest.text).document;
  if (!document) return ErrorResponse(VersionsCode::kInvalidDocument);
  json rows = json::array();
  for (const auto& [name, customer] : document->customers) {
    json row = {{"customer", name},
                {"keys", customer.keys.size()},
                {"rate_per_s", customer.rate_per_s},
                {"burst", customer.burst}};
    if (customer.priority.has_value()) row["priority"] = *customer.priority;
    rows.push_back(std::move(row));
  }
  return JsonResponse(200, {{"version", latest.number},
                            {"keys_required", document->keys_required},
                            {"customers", std::move(rows)}});
}

HttpResponse Limit(OperatorBackend& backend, const std::string& customer) {
  const LimitStatus status = backend.StatusOfLimit(customer);
  if (!status.limited) {
    return ErrorResponse(OperatorCode::kUnknownResource,
                         "no customer of that name has a limit");
  }
  json body = {{"customer", customer},
               {"rate_per_s", status.rate_per_s},
               {"burst", status.burst},
               {"domain_rate_per_s", status.domain_rate},
               {"domain_capacity", status.domain_capacity},
               {"used_here_5s", status.used_here},
               {"regime", !status.contact_age.has_value() ? "alone"
                          : status.tight                  ? "credit"
                                                          : "free"},
               {"coordinator", status.coordinator},
               {"daemons_in_domain", status.daemons}};
  if (status.contact_age.has_value()) {
    body["contact_ms_ago"] = status.contact_age->count() / 1000;
  }
  if (status.level.has_value()) {
    body["left_in_domain"] = *status.level;
    body["used_in_domain_5s"] = status.used_in_domain;
    body["credit_outstanding"] = status.outstanding;
    body["daemons_heard"] = status.daemons_heard;
  }
  return JsonResponse(200, body);
}

HttpResponse Status(OperatorBackend& backend) {
  const DaemonStatus status = backend.Status();
  return JsonResponse(200, {{"mesh", status.mesh},
                            {"instance", status.instance},
                            {"failure_domain", status.failure_domain},
                            {"version_in_use", status.version_in_use},
                            {"version_age_ms", status.version_age_ms},
                            {"waiting_for", status.waiting_for},
                            {"replica_role", status.replica_role},
                            {"leader_address", status.leader_address},
                            {"stopping", status.stopping}});
}

/// @return gauges of the daemon and the mesh in the text exposition format.
std::string GaugesText(OperatorBackend& backend) {
  const std::unique_ptr<Metrics> gauges = MakeMetrics();
  const DaemonStatus status = backend.Status();
  gauges->SetGauge("version_in_use", "",
                   static_cast<double>(status.version_in_use));
  gauges->SetGauge("version_age_seconds", "",
                   static_cast<double>(status.version_age_ms) * 1e-3);
  if (status.confirmed_ms_ago.has_value()) {
    gauges->SetGauge("version_confirmed_seconds", "",
                     static_cast<double>(*status.confirmed_ms_ago) * 1e-3);
  }
  gauges->SetGauge("stopping", "", status.stopping ? 1 : 0);
  std::map<std::string, int> states;
  std::map<std::string, int> serving;
  for (const InstanceRecord& record : backend.Instances()) {
    ++states[NameOf(record.state)];
    if (record.service.empty()) continue;
    const bool is_serving = record.state == InstanceState::kAlive &&
                            record.upstream_state == UpstreamState::kServing;
    serving[record.service] += is_serving ? 1 : 0;
  }
  for (const auto& [state, count] : states) {
    gauges->SetGauge("instances", "state=\"" + state + "\"", count);
  }
  for (const auto& [service, count] : serving) {
    gauges->SetGauge("upstreams_serving", "service=" + json(service).dump(),
                     count);
  }
  return gauges->Exposition();
}

/// @return the path without the prefix; nullopt when it lacks the prefix.
std::optional<std::string> After(const std::string& path,
                                 std::string_view prefix) {
  if (!path.starts_with(prefix)) return std::nullopt;
  return path.substr(prefix.size());
}

/// @return the answer to a GET; nullopt for an unknown resource.
std::optional<HttpResponse> HandleGet(OperatorBackend& backend,
                                      const HttpRequest& request) {
  const std::string& path = request.path;
  if (auto answer = AnswerAboutRollouts(backend, request)) return answer;
  if (path == "/metrics") {
    return HttpResponse{200, kMetricsType,
                        backend.MetricsText() + GaugesText(backend)};
  }
  if (path == "/v1/status") return Status(backend);
  if (path == "/v1/instances") return Instances(backend);
  if (path == "/v1/customers") return Customers(backend);
  if (auto name = After(path, "/v1/limits/")) return Limit(backend, *name);
  if (path == "/v1/versions") return History(backend, request);
  if (auto id = After(path, "/v1/patches/")) {
    return VerdictResponse(backend.VerdictOf(*id));
  }
  if (auto name = After(path, "/v1/versions/")) return Version(backend, *name);
  if (auto name = After(path, "/v1/in-force/")) return InForce(backend, *name);
  return std::nullopt;
}

/// @return the answer to a POST; nullopt for an unknown resource.
std::optional<HttpResponse> HandlePost(OperatorBackend& backend,
                                       const HttpRequest& request) {
  if (request.path == "/v1/patches") return Propose(backend, request.body);
  if (auto answer = AnswerAboutRollouts(backend, request)) return answer;
  if (request.path == "/v1/drain") {
    if (backend.DrainUpstream()) return JsonResponse(200, json::object());
    return ErrorResponse(OperatorCode::kInternalTimeout);
  }
  return std::nullopt;
}

}  // namespace

HttpResponse AnswerOperator(OperatorBackend& backend,
                            const HttpRequest& request) {
  std::optional<HttpResponse> answer;
  if (request.method == "GET") {
    answer = HandleGet(backend, request);
  } else if (request.method == "POST") {
    answer = HandlePost(backend, request);
  } else {
    return ErrorResponse(OperatorCode::kMethodUnknown);
  }
  if (answer.has_value()) return std::move(*answer);
  return ErrorResponse(OperatorCode::kUnknownResource);
}

}  // namespace hibiscusglade
