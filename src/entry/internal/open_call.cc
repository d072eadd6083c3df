#include "entry/internal/open_call.h"

#include <algorithm>

namespace hibiscusglade {
namespace {

constexpr uint64_t kInitialCreditBytes = 256 * 1024;
/// Time past the timeout of its route in which an answer that has begun to
/// arrive may end.
constexpr Duration kAnswerGrace = std::chrono::milliseconds(120);

}  // namespace

void OpenCall::SetDeadlines(Instant now) {
  Duration timeout = route->timeout;
  if (request.timeout > Duration{}) {
    timeout = std::min(timeout, request.timeout);
  }
  deadline = now + timeout;
  answer_deadline = deadline + kAnswerGrace;
  if (request.timeout > Duration{}) {
    answer_deadline = std::min(answer_deadline, now + request.timeout);
  }
}

bool OpenCall::MayHaveRun() const {
  return !open_attempts.empty() ||
         (last_refusal.has_value() &&
          last_refusal->certainty != Certainty::kNotRun);
}

CallAttempt OpenCall::NewAttempt(const AttemptId& id, Instant now) const {
  CallAttempt attempt;
  attempt.id = id;
  attempt.request = request;
  attempt.service = service;
  attempt.route = route->name;
  attempt.request_class = route->request_class;
  attempt.repeatable = route->repeatable;
  attempt.claimed = route->claimed;
  attempt.objective = objective - now;
  attempt.remaining = deadline - now;
  attempt.credit_bytes = kInitialCreditBytes;
  attempt.version = version;
  return attempt;
}

}  // namespace hibiscusglade
