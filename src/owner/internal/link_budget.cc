#include "owner/internal/link_budget.h"

#include <algorithm>

namespace hibiscusglade {
namespace {

/// Longest answer that is sent ahead of queued ones.
constexpr double kShortAnswerBytes = 4.0 * 1024;
/// Five in six answers are at most this many times as large as the mean.
constexpr double kHighSizeFactor = 1.5;
constexpr double kSizeSmoothing = 0.05;
constexpr Duration kMinWaitForRoom = std::chrono::milliseconds(10);

}  // namespace

LinkBudget::LinkBudget(double megabits_per_second)
    : rate_(megabits_per_second) {}

std::optional<Duration> LinkBudget::WaitForRoom(const LinkRequest& request,
                                                Instant now) const {
  if (!Limited()) return std::nullopt;
  const double bytes = ExpectedBytes(request.request_class);
  const auto backlog_bytes = static_cast<double>(BacklogBytes());
  // On an idle link the estimate is ignored: an answer then corrects one that
  // is too high.
  if (bytes <= kShortAnswerBytes || backlog_bytes <= 0) return std::nullopt;
  const Duration backlog = rate_.TransferTime(backlog_bytes);
  const Instant earliest =
      now + request.service_time + rate_.TransferTime(bytes);
  if (request.objective != Instant{} && earliest > request.objective) {
    return std::max(kMinWaitForRoom, backlog);
  }
  const Instant arrival = now + std::max(request.service_time, backlog) +
                          rate_.TransferTime(bytes * kHighSizeFactor);
  const Instant latest = request.objective == Instant{}
                             ? request.deadline
                             : std::min(request.deadline, request.objective);
  if (arrival <= latest) return std::nullopt;
  return std::max(kMinWaitForRoom,
                  std::chrono::duration_cast<Duration>(arrival - latest));
}

void LinkBudget::Reserve(const AttemptId& attempt,
                         const std::string& request_class) {
  if (Limited()) SetReserved(attempt, ExpectedBytes(request_class));
}

void LinkBudget::SetRemaining(const AttemptId& attempt, uint64_t bytes) {
  if (reserved_.contains(attempt)) {
    SetReserved(attempt, static_cast<double>(bytes));
  }
}

void LinkBudget::OnQueued(const AttemptId& attempt, uint64_t bytes) {
  auto found = reserved_.find(attempt);
  if (found == reserved_.end()) return;
  SetReserved(attempt, std::max(found->second, static_cast<double>(bytes)));
}

void LinkBudget::OnSent(const AttemptId& attempt, uint64_t bytes, Instant now) {
  if (!Limited()) return;
  rate_.Spend(static_cast<double>(bytes), now);
  rate_.CountBody(bytes);
  auto found = reserved_.find(attempt);
  if (found == reserved_.end()) return;
  SetReserved(attempt,
              std::max(0.0, found->second - static_cast<double>(bytes)));
}

void LinkBudget::Release(const AttemptId& attempt) {
  if (!reserved_.contains(attempt)) return;
  SetReserved(attempt, 0);
  reserved_.erase(attempt);
  if (reserved_.empty()) reserved_total_ = 0;  // Without a rounding error.
}

void LinkBudget::OnAnswerSize(const std::string& request_class,
                              uint64_t bytes) {
  const auto sample = static_cast<double>(bytes);
  auto [size, is_new] = answer_bytes_.try_emplace(request_class, sample);
  if (!is_new) size->second += kSizeSmoothing * (sample - size->second);
}

bool LinkBudget::IsShort(const AttemptId& attempt) const {
  auto found = reserved_.find(attempt);
  return found == reserved_.end() || found->second <= kShortAnswerBytes;
}

uint64_t LinkBudget::BacklogBytes() const {
  return static_cast<uint64_t>(reserved_total_ + rate_.DebtBytes());
}

double LinkBudget::ExpectedBytes(const std::string& request_class) const {
  auto found = answer_bytes_.find(request_class);
  return found == answer_bytes_.end() ? 0 : found->second;
}

void LinkBudget::SetReserved(const AttemptId& attempt, double bytes) {
  double& reserved = reserved_[attempt];
  reserved_total_ += bytes - reserved;
  reserved = bytes;
}

}  // namespace hibiscusglade
