#include "owner/internal/link_rate.h"

#include <algorithm>

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

constexpr double kBytesPerMegabit = 1e6 / 8;
/// The rest of the link is for the headers of packets and for acknowledgements.
constexpr double kUsableShare = 0.92;
/// Bodies get at least this share of it, whatever else the link carries.
constexpr double kMinBodyShare = 0.25;
constexpr Duration kTrafficSmoothing = std::chrono::seconds(1);
/// Bytes may go this much ahead of the rate, so that the link does not idle
/// between two ticks.
constexpr Duration kBurst = milliseconds(20);
/// A piece occupies the link for this long: a short message waits no longer for
/// one.
constexpr Duration kPiece = milliseconds(10);
constexpr double kMinPieceBytes = 4.0 * 1024;
constexpr double kMaxPieceBytes = 64.0 * 1024;
constexpr double kMicrosPerSecond = 1e6;

double Seconds(Duration time) {
  return static_cast<double>(time.count()) / kMicrosPerSecond;
}

}  // namespace

LinkRate::LinkRate(double megabits_per_second)
    : bytes_per_second_(megabits_per_second * kBytesPerMegabit * kUsableShare),
      burst_bytes_(
          std::max(kMinPieceBytes, bytes_per_second_ * Seconds(kBurst))),
      allowance_bytes_(burst_bytes_) {}

bool LinkRate::MaySend(Instant now) {
  AddAllowance(now);
  return !Limited() || allowance_bytes_ > 0;
}

void LinkRate::Spend(double bytes, Instant now) {
  AddAllowance(now);
  allowance_bytes_ -= bytes;
}

void LinkRate::OnTraffic(uint64_t total_bytes, Instant now) {
  if (!Limited() || now <= traffic_at_) return;
  AddAllowance(now);
  const bool is_first = traffic_at_ == Instant{};
  const auto carried = static_cast<double>(total_bytes - total_bytes_);
  const double other =
      std::max(0.0, carried - static_cast<double>(body_bytes_));
  const double seconds = Seconds(now - traffic_at_);
  total_bytes_ = total_bytes;
  body_bytes_ = 0;
  traffic_at_ = now;
  if (is_first) return;
  allowance_bytes_ -= other;
  other_bytes_per_second_ +=
      std::min(1.0, seconds / Seconds(kTrafficSmoothing)) *
      (other / seconds - other_bytes_per_second_);
}

size_t LinkRate::PieceBytes() const {
  if (!Limited()) return static_cast<size_t>(kMaxPieceBytes);
  return static_cast<size_t>(std::clamp(bytes_per_second_ * Seconds(kPiece),
                                        kMinPieceBytes, kMaxPieceBytes));
}

Duration LinkRate::TransferTime(double bytes) const {
  if (!Limited()) return {};
  const double rate = std::max(bytes_per_second_ * kMinBodyShare,
                               bytes_per_second_ - other_bytes_per_second_);
  return Duration(static_cast<int64_t>(bytes / rate * kMicrosPerSecond));
}

uint64_t LinkRate::BytesIn(Duration time) const {
  return static_cast<uint64_t>(bytes_per_second_ * Seconds(time));
}

double LinkRate::DebtBytes() const { return std::max(0.0, -allowance_bytes_); }

void LinkRate::AddAllowance(Instant now) {
  if (now > allowance_at_) {
    const Duration elapsed = now - allowance_at_;
    allowance_bytes_ = std::min(
        burst_bytes_, allowance_bytes_ + bytes_per_second_ * Seconds(elapsed));
  }
  allowance_at_ = std::max(allowance_at_, now);
}

}  // namespace hibiscusglade
