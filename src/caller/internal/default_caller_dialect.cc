#include "caller/caller_dialect.h"
#include "calls/access_key.h"
#include "calls/field_values.h"

namespace hibiscusglade {
namespace {

constexpr uint32_t kMaxDepth = 1000;
constexpr int kStatusBadGateway = 502;

class OwnDialect : public CallerDialect {
 public:
  bool ReadField(const HeaderField& field,
                 CallRequest& request) const override {
    if (ReadAccessKey(field, request)) return true;
    if (EqualFieldNames(field.name, "X-Request-Id")) {
      request.request_id = field.value;
    } else if (EqualFieldNames(field.name, "X-Request-Timeout-Ms")) {
      return ParseTimeout(field.value, request);
    } else if (EqualFieldNames(field.name, "X-Request-Depth")) {
      const auto depth = ParseFieldNumber(field.value, kMaxDepth);
      request.depth = depth.value_or(0);
      return depth.has_value();
    } else if (EqualFieldNames(field.name, "X-Caller")) {
      request.caller = field.value;
    } else if (EqualFieldNames(field.name, "Idempotency-Key")) {
      request.idempotency_key = field.value;
      request.headers.push_back(field);
    } else if (!EqualFieldNames(field.name, "X-Customer")) {
      // Upstreams take X-Customer as the daemon's word.
      request.headers.push_back(field);
    }
    return true;
  }

  ErrorAnswer ErrorAnswerFor(const CallRequest& request,
                             const Refusal& refusal) const override {
    const ResultCodeInfo* info = FindResultCode(refusal.code);
    const std::string certainty(CertaintyName(refusal.certainty));
    const std::string code = std::to_string(refusal.code.value());
    ErrorAnswer answer;
    answer.status = info == nullptr ? kStatusBadGateway : info->http_status;
    answer.headers = {{"Content-Type", "application/json"},
                      {"X-Outcome", certainty},
                      {"X-Result-Code", code},
                      {"X-Request-Id", request.request_id}};
    if (refusal.retry_after > Duration{}) {
      const auto seconds =
          std::chrono::ceil<std::chrono::seconds>(refusal.retry_after);
      answer.headers.push_back(
          {"Retry-After", std::to_string(seconds.count())});
    }
    answer.body = "{\"code\":" + code + ",\"outcome\":\"" + certainty +
                  "\",\"message\":\"" + refusal.code.message() + "\"}\n";
    return answer;
  }

  std::vector<HeaderField> AnswerFields(
      const CallRequest& request) const override {
    return {{"X-Request-Id", request.request_id}};
  }
};

}  // namespace

const CallerDialect& DefaultCallerDialect() {
  static const OwnDialect dialect;
  return dialect;
}

}  // namespace hibiscusglade
