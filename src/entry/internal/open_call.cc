#include "entry/internal/open_call.h"

#include <algorithm>
#include <utility>

namespace hibiscusglade {
namespace {

constexpr uint64_t kInitialCreditBytes = 256 * 1024;
constexpr int64_t kMaxHeldAnswerBytes = int64_t{64} * 1024;
/// Longest time that an answer of unknown length is held. It may be a stream
/// of events that its caller reads one by one.
constexpr Duration kMaxHoldTime = std::chrono::milliseconds(250);
constexpr size_t kMaxUnofferedBytes = size_t{16} * 1024;
/// Time past the timeout of its route in which an answer that has begun to
/// arrive may end.
constexpr Duration kAnswerGrace = std::chrono::milliseconds(120);

}  // namespace

bool HeldAnswer::Holds(const AnswerHead& head) {
  return head.content_length <= kMaxHeldAnswerBytes;
}

bool HeldAnswer::IsTooLarge() const {
  return static_cast<int64_t>(body.size()) > kMaxHeldAnswerBytes;
}

CallProgress OpenCall::Progress() const {
  return {*route,
          service,
          request.depth,
          attempts,
          static_cast<uint32_t>(tried.size()),
          limits.max_owner_tries,
          HeadForwarded()};
}

bool OpenCall::HeldTooLong(Instant now) const {
  return held.has_value() && held->head.content_length < 0 &&
         now - held->since >= kMaxHoldTime;
}

void OpenCall::Receive(std::string data) {
  ++next_chunk;
  bytes += data.size();
  digest = DigestOf(data, digest);
  if (!held.has_value()) {
    stream->OnData(std::move(data));
    return;
  }
  held->body += data;
  if (held->IsTooLarge()) ForwardHeld();
}

void OpenCall::ForwardHeld() {
  HeldAnswer forwarded = std::move(*held);
  held.reset();
  stream->OnHead(forwarded.head);
  stream->OnData(std::move(forwarded.body));
}

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

bool OpenCall::HasLargeBody() const {
  return request.body.size() > kMaxUnofferedBytes;
}

CallAttempt OpenCall::NewAttempt(const AttemptId& id, bool offered,
                                 Instant now) {
  CallAttempt attempt;
  attempt.id = id;
  // An offered body, which may be large, is not copied.
  std::string body = std::exchange(request.body, {});
  attempt.request = request;
  request.body = std::move(body);
  if (offered) {
    attempt.offered_bytes = request.body.size();
  } else {
    attempt.request.body = request.body;
  }
  attempt.service = service;
  attempt.route = route->name;
  attempt.request_class = route->request_class;
  attempt.repeatable = route->repeatable;
  attempt.claimed = route->claimed;
  attempt.objective = objective - now;
  attempt.remaining = deadline - now;
  attempt.credit_bytes = kInitialCreditBytes;
  attempt.version = version;
  if (customer.has_value()) attempt.priority = customer->priority;
  return attempt;
}

}  // namespace hibiscusglade
