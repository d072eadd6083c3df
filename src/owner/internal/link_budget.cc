#include "owner/internal/link_budget.h"

#include <algorithm>

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

constexpr double kBytesPerMegabit = 1e6 / 8;
/// The rest of the link is for the headers of packets and for acknowledgements.
constexpr double kUsableShare = 0.92;
/// Answers get at least this share of it, whatever else is sent.
constexpr double kMinAnswerShare = 0.25;
constexpr Duration kTrafficSmoothing = std::chrono::seconds(1);
/// Bytes may be sent this much ahead of the rate, so that the link does not
/// idle between two ticks.
constexpr Duration kBurst = milliseconds(20);
/// A piece occupies the link for this long: a short answer waits no longer for
/// one.
constexpr Duration kPiece = milliseconds(10);
constexpr double kMinPieceBytes = 4.0 * 1024;
constexpr double kMaxPieceBytes = 64.0 * 1024;
/// Longest answer that is sent ahead of queued ones.
constexpr double kShortAnswerBytes = 4.0 * 1024;
/// Five in six answers are at most this many times as large as the mean.
constexpr double kHighSizeFactor = 1.5;
constexpr double kSizeSmoothing = 0.05;
constexpr Duration kMinWaitForRoom = milliseconds(10);
constexpr double kMicrosPerSecond = 1e6;

double Seconds(Duration time) {
  return static_cast<double>(time.count()) / kMicrosPerSecond;
}

}  // namespace

LinkBudget::LinkBudget(double megabits_per_second)
    : bytes_per_second_(megabits_per_second * kBytesPerMegabit * kUsableShare),
      burst_bytes_(
          std::max(kMinPieceBytes, bytes_per_second_ * Seconds(kBurst))),
      allowance_bytes_(burst_bytes_) {}

std::optional<Duration> LinkBudget::WaitForRoom(const LinkRequest& request,
                                                Instant now) const {
  if (!Limited()) return std::nullopt;
  const double bytes = ExpectedBytes(request.request_class);
  const auto backlog_bytes = static_cast<double>(BacklogBytes());
  // On an idle link the estimate is ignored: an answer then corrects one that
  // is too high.
  if (bytes <= kShortAnswerBytes || backlog_bytes <= 0) return std::nullopt;
  const Duration backlog = TransferTime(backlog_bytes);
  const Instant earliest = now + request.service_time + TransferTime(bytes);
  if (request.objective != Instant{} && earliest > request.objective) {
    return std::max(kMinWaitForRoom, backlog);
  }
  const Instant arrival = now + std::max(request.service_time, backlog) +
                          TransferTime(bytes * kHighSizeFactor);
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
  AddAllowance(now);
  allowance_bytes_ -= static_cast<double>(bytes);
  charged_bytes_ += bytes;
  auto found = reserved_.find(attempt);
  if (found == reserved_.end()) return;
  SetReserved(attempt,
              std::max(0.0, found->second - static_cast<double>(bytes)));
}

void LinkBudget::OnTraffic(uint64_t total_bytes, Instant now) {
  if (!Limited() || now <= traffic_at_) return;
  AddAllowance(now);
  const bool is_first = traffic_at_ == Instant{};
  const auto sent = static_cast<double>(total_bytes - total_bytes_);
  const double other =
      std::max(0.0, sent - static_cast<double>(charged_bytes_));
  const double seconds = Seconds(now - traffic_at_);
  total_bytes_ = total_bytes;
  charged_bytes_ = 0;
  traffic_at_ = now;
  if (is_first) return;
  allowance_bytes_ -= other;
  other_bytes_per_second_ +=
      std::min(1.0, seconds / Seconds(kTrafficSmoothing)) *
      (other / seconds - other_bytes_per_second_);
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

bool LinkBudget::MaySend(Instant now) {
  AddAllowance(now);
  return allowance_bytes_ > 0;
}

size_t LinkBudget::PieceBytes() const {
  if (!Limited()) return static_cast<size_t>(kMaxPieceBytes);
  return static_cast<size_t>(std::clamp(bytes_per_second_ * Seconds(kPiece),
                                        kMinPieceBytes, kMaxPieceBytes));
}

uint64_t LinkBudget::BacklogBytes() const {
  return static_cast<uint64_t>(reserved_total_ +
                               std::max(0.0, -allowance_bytes_));
}

double LinkBudget::ExpectedBytes(const std::string& request_class) const {
  auto found = answer_bytes_.find(request_class);
  return found == answer_bytes_.end() ? 0 : found->second;
}

Duration LinkBudget::TransferTime(double bytes) const {
  const double rate = std::max(bytes_per_second_ * kMinAnswerShare,
                               bytes_per_second_ - other_bytes_per_second_);
  return Duration(static_cast<int64_t>(bytes / rate * kMicrosPerSecond));
}

void LinkBudget::AddAllowance(Instant now) {
  if (now > allowance_at_) {
    const Duration elapsed = now - allowance_at_;
    allowance_bytes_ = std::min(
        burst_bytes_, allowance_bytes_ + bytes_per_second_ * Seconds(elapsed));
  }
  allowance_at_ = std::max(allowance_at_, now);
}

void LinkBudget::SetReserved(const AttemptId& attempt, double bytes) {
  double& reserved = reserved_[attempt];
  reserved_total_ += bytes - reserved;
  reserved = bytes;
}

}  // namespace hibiscusglade
