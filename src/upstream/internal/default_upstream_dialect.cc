#include "upstream/upstream_dialect.h"

namespace hibiscusglade {
namespace {

class OwnDialect : public UpstreamDialect {
 public:
  std::vector<HeaderField> RequestFields(
      const CallAttempt& attempt,
      std::chrono::milliseconds remaining) const override {
    std::vector<HeaderField> fields = {
        {"X-Request-Id", attempt.request.request_id},
        {"X-Request-Timeout-Ms", std::to_string(remaining.count())},
        {"X-Request-Depth", std::to_string(attempt.request.depth + 1)}};
    if (!attempt.request.customer.empty()) {
      fields.push_back({"X-Customer", attempt.request.customer});
    }
    return fields;
  }

  AnswerHeadKind ClassifyHead(const CallAttempt&,
                              const AnswerHead&) const override {
    return AnswerHeadKind::kAnswer;
  }

  bool NamesRequest(const CallAttempt&, const AnswerHead&) const override {
    return false;
  }
};

}  // namespace

const UpstreamDialect& DefaultUpstreamDialect() {
  static const OwnDialect dialect;
  return dialect;
}

}  // namespace hibiscusglade
