#include "membership/internal/upstream_registration.h"

#include <algorithm>
#include <utility>

namespace hibiscusglade {
namespace {

/// Upstreams that have deregistered and are remembered.
constexpr size_t kMaxDeparted = 16;
/// Time between two checks of a lease above which this process has stood still.
constexpr Duration kPause = std::chrono::seconds(1);

/// @return whether `b` only renews the lease of `a`: nothing differs that peers
/// or the owner act on.
bool IsRenewal(const UpstreamAnnouncement& a, UpstreamAnnouncement b) {
  b.sequence = a.sequence;
  b.cold_remaining = a.cold_remaining;
  return a == b;
}

}  // namespace

UpstreamRegistration::UpstreamRegistration(const MembershipConfig& config)
    : lease_(config.announcement_lease),
      expected_service_(config.expected_service),
      expected_address_(config.expected_address) {}

bool UpstreamRegistration::Announce(const UpstreamAnnouncement& upstream,
                                    Instant now) {
  if (WhyIgnored(upstream, now).has_value()) return false;
  lease_expires_at_ = now + lease_;
  order_expires_at_ = now + lease_;
  last_start_ms_ = upstream.started_at_ms;
  last_id_ = upstream.id;
  last_sequence_ = upstream.sequence;
  const bool renews = upstream_.has_value() && IsRenewal(*upstream_, upstream);
  upstream_ = upstream;
  return !renews;
}

bool UpstreamRegistration::MarkDown(const std::string& id,
                                    int64_t started_at_ms) {
  if (!upstream_.has_value() || id != upstream_->id ||
      started_at_ms != upstream_->started_at_ms ||
      upstream_->state == UpstreamState::kDraining) {
    return false;
  }
  upstream_->state = UpstreamState::kDraining;
  return true;
}

bool UpstreamRegistration::Leave(const std::string& id, int64_t started_at_ms,
                                 Instant now) {
  const bool is_current = IsMeant(upstream_, id, started_at_ms);
  const int64_t start = is_current ? upstream_->started_at_ms : started_at_ms;
  // Also one that is not known here: the daemon may have been restarted.
  if (!id.empty()) Remember({id, start, now + lease_});
  if (!is_current) return AdoptDeparted(id, start);
  // Ignore announcements of this upstream incarnation that arrive later.
  if (!id.empty()) last_sequence_ = kAfterLeave;
  upstream_.reset();
  return true;
}

bool UpstreamRegistration::Expire(Instant now) {
  const Instant last_check = std::exchange(checked_at_, now).value_or(now);
  const bool began_before = lease_expires_at_ - lease_ <= last_check;
  // What was announced during a pause of this process is not read yet.
  if (now - last_check >= kPause && began_before) {
    lease_expires_at_ += now - last_check;
  }
  if (!upstream_.has_value() || now < lease_expires_at_) return false;
  upstream_.reset();
  return true;
}

bool UpstreamRegistration::ContinueFrom(const InstanceRecord& earlier,
                                        Instant now) {
  const int64_t started_at_ms = earlier.upstream_started_at_ms;
  if (started_at_ms < last_start_ms_) return false;
  if (started_at_ms == last_start_ms_) {
    if (earlier.upstream_sequence <= last_sequence_) return false;
  } else {
    last_id_.clear();
  }
  last_start_ms_ = started_at_ms;
  last_sequence_ = earlier.upstream_sequence;
  order_expires_at_ = now + lease_;
  RemoveIfStale(now);
  return true;
}

bool UpstreamRegistration::AdoptRecorded(std::vector<UpstreamLeave> leaves,
                                         Instant now) {
  recorded_ = std::move(leaves);
  return RemoveIfStale(now);
}

void UpstreamRegistration::Describe(InstanceRecord& self) const {
  self.upstream_state = UpstreamState::kNone;
  if (upstream_.has_value()) {
    self.service = upstream_->service;
    self.slots = upstream_->slots;
    self.upstream_version = upstream_->software_version;
    self.upstream_state = upstream_->state;
  }
  const bool leaving = self.upstream_state == UpstreamState::kNone ||
                       self.upstream_state == UpstreamState::kDraining;
  self.upstream_started_at_ms = leaving ? last_start_ms_ : 0;
  self.upstream_sequence = leaving ? last_sequence_ : 0;
}

void UpstreamRegistration::Remember(Departed departed) {
  departed_.push_back(std::move(departed));
  if (departed_.size() > kMaxDeparted) departed_.pop_front();
}

bool UpstreamRegistration::AdoptDeparted(const std::string& id,
                                         int64_t started_at_ms) {
  if (upstream_.has_value() || id.empty() || started_at_ms == 0) return false;
  if (started_at_ms < last_start_ms_) return false;
  if (started_at_ms == last_start_ms_ && last_sequence_ == kAfterLeave)
    return false;
  last_start_ms_ = started_at_ms;
  last_id_ = id;
  last_sequence_ = kAfterLeave;
  return true;
}

bool UpstreamRegistration::RemoveIfStale(Instant now) {
  if (!upstream_.has_value() || !WhyIgnored(*upstream_, now).has_value()) {
    return false;
  }
  upstream_.reset();
  return true;
}

bool UpstreamRegistration::IsRecordedLeave(
    const UpstreamAnnouncement& upstream) const {
  return std::any_of(
      recorded_.begin(), recorded_.end(), [&](const UpstreamLeave& leave) {
        return IsOf(leave, upstream) && upstream.sequence < leave.sequence;
      });
}

bool UpstreamRegistration::HasLeft(const UpstreamAnnouncement& upstream,
                                   Instant now) const {
  return std::any_of(
      departed_.begin(), departed_.end(), [&](const Departed& departed) {
        if (departed.id != upstream.id) return false;
        return departed.started_at_ms == 0
                   ? now < departed.lease_expires_at
                   : upstream.started_at_ms <= departed.started_at_ms;
      });
}

std::optional<IgnoredReason> UpstreamRegistration::WhyIgnored(
    const UpstreamAnnouncement& upstream, Instant now) const {
  if (!IsExpected(upstream)) return IgnoredReason::kUnexpected;
  if (IsRecordedLeave(upstream)) return IgnoredReason::kLeaveRecorded;
  if (HasLeft(upstream, now)) return IgnoredReason::kLeft;
  const bool order_expired = now >= order_expires_at_;
  if (upstream.started_at_ms != last_start_ms_) {
    if (upstream.started_at_ms > last_start_ms_ || order_expired) {
      return std::nullopt;
    }
    return IgnoredReason::kEarlierStart;
  }
  if (upstream.started_at_ms == 0 && order_expired) return std::nullopt;
  const bool is_earlier = (last_id_.empty() || upstream.id == last_id_) &&
                          upstream.sequence < last_sequence_;
  if (!is_earlier) return std::nullopt;
  return IgnoredReason::kEarlierSequence;
}

bool UpstreamRegistration::IsExpected(
    const UpstreamAnnouncement& upstream) const {
  return (expected_service_.empty() || upstream.service == expected_service_) &&
         (expected_address_.empty() || upstream.address == expected_address_);
}

}  // namespace hibiscusglade
