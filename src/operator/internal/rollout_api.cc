#include "operator/internal/rollout_api.h"

#include <nlohmann/json.hpp>
#include <string_view>

#include "base/settings_faults.h"
#include "operator/operator_result_codes.h"

namespace hibiscusglade {
namespace {

using nlohmann::json;

constexpr std::string_view kPath = "/v1/rollouts";
constexpr int64_t kMaxDurationSeconds = 86400;

HttpResponse JsonResponse(int status, const json& body) {
  return {status, "application/json",
          body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"};
}

HttpResponse ErrorResponse(const std::error_code& error,
                           const std::vector<SettingsFault>& faults = {}) {
  json body = {{"code", error.value()}, {"message", error.message()}};
  const ResultCodeInfo* info = FindResultCode(error);
  if (info != nullptr) body["name"] = info->name;
  if (!faults.empty()) body["faults"] = FaultsJson(faults);
  return JsonResponse(info == nullptr ? 500 : info->http_status, body);
}

json RolloutJson(const Rollout& rollout) {
  return {{"service", rollout.service},
          {"target_version", rollout.target_version},
          {"state", NameOf(rollout.stage)},
          {"share_permille", rollout.share_permille},
          {"closes_others", rollout.closes_others},
          {"step", rollout.step},
          {"reason", rollout.reason},
          {"ordered_at_ms", rollout.ordered_at_ms},
          {"duration_s",
           std::chrono::duration_cast<std::chrono::seconds>(rollout.duration)
               .count()}};
}

HttpResponse ResultResponse(const RolloutResult& result) {
  if (result.error) return ErrorResponse(result.error, result.faults);
  return JsonResponse(200, RolloutJson(result.rollout));
}

HttpResponse Order(OperatorBackend& backend, const std::string& body) {
  SettingsReader reader(body);
  RolloutOrder order;
  order.service =
      reader.Text("service", {"", "Service that gets a new version.", true});
  order.target_version = reader.Text(
      "target_version", {"", "Version of the upstreams' software.", true});
  order.duration = std::chrono::seconds(reader.Number(
      "duration_s", {1, kMaxDurationSeconds, 1, "s",
                     "Time until the service must have moved.", true}));
  reader.Finish();
  if (!reader.Faults().empty()) {
    return ErrorResponse(OperatorCode::kMalformedRequest, reader.Faults());
  }
  return ResultResponse(backend.OrderRollout(order));
}

HttpResponse List(OperatorBackend& backend) {
  const RolloutRows rollouts = backend.Rollouts();
  if (rollouts.error) return ErrorResponse(rollouts.error);
  json rows = json::array();
  for (const Rollout& rollout : rollouts.rows) {
    rows.push_back(RolloutJson(rollout));
  }
  return JsonResponse(200, rows);
}

}  // namespace

std::optional<HttpResponse> AnswerAboutRollouts(OperatorBackend& backend,
                                                const HttpRequest& request) {
  std::string_view path = request.path;
  if (!path.starts_with(kPath)) return std::nullopt;
  path.remove_prefix(kPath.size());
  if (path.empty()) {
    return request.method == "POST" ? Order(backend, request.body)
                                    : List(backend);
  }
  if (request.method != "GET" || path.size() < 2 || path.front() != '/') {
    return std::nullopt;
  }
  return ResultResponse(backend.LastRollout(std::string(path.substr(1))));
}

}  // namespace hibiscusglade
