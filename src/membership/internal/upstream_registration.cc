#include "membership/internal/upstream_registration.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace hibiscusglade {
namespace {

/// Upstreams that have deregistered and are remembered, as their earlier
/// announcements may arrive seconds later.
constexpr size_t kMaxDeparted = 16;

/// @return whether `b` only renews the lease of `a`: nothing differs that
/// peers or the owner act on.
bool IsRenewal(const UpstreamAnnouncement& a, UpstreamAnnouncement b) {
  b.sequence = a.sequence;
  b.cold_remaining = a.cold_remaining;
  return a == b;
}

}  // namespace

bool UpstreamRegistration::OnAnnounce(const UpstreamAnnouncement& upstream,
                                      Instant now) {
  if (IsStale(upstream) || IsOfAnotherUpstream(upstream)) return false;
  lease_expires_at_ = now + config_.announcement_lease;
  last_start_ms_ = upstream.started_at_ms;
  last_id_ = upstream.id;
  last_sequence_ = upstream.sequence;
  const bool renews = current_.has_value() && IsRenewal(*current_, upstream);
  current_ = upstream;
  return !renews;
}

bool UpstreamRegistration::OnLeft(const std::string& id,
                                  int64_t started_at_ms) {
  // Also one that is not known here: the daemon may have been restarted.
  if (!id.empty() && started_at_ms != 0) Remember({id, started_at_ms});
  if (!current_.has_value()) return false;
  if (!id.empty() && id != current_->id) return false;
  if (started_at_ms != 0 && started_at_ms != current_->started_at_ms) {
    return false;
  }
  // Ignore announcements of this upstream incarnation that arrive later.
  if (!id.empty()) last_sequence_ = std::numeric_limits<uint64_t>::max();
  current_.reset();
  return true;
}

bool UpstreamRegistration::ContinueFrom(const InstanceRecord& record) {
  const int64_t started_at_ms = record.upstream_started_at_ms;
  if (started_at_ms < last_start_ms_) return false;
  if (started_at_ms == last_start_ms_) {
    if (record.upstream_sequence <= last_sequence_) return false;
  } else {
    last_id_.clear();
  }
  last_start_ms_ = started_at_ms;
  last_sequence_ = record.upstream_sequence;
  if (current_.has_value() && IsStale(*current_)) current_.reset();
  return true;
}

void UpstreamRegistration::Describe(InstanceRecord& self) const {
  self.upstream_state = UpstreamState::kNone;
  if (current_.has_value()) {
    self.service = current_->service;
    self.slots = current_->slots;
    self.upstream_state = current_->state;
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

bool UpstreamRegistration::HasLeft(const UpstreamAnnouncement& upstream) const {
  return std::any_of(departed_.begin(), departed_.end(),
                     [&upstream](const Departed& departed) {
                       return departed.id == upstream.id &&
                              upstream.started_at_ms <= departed.started_at_ms;
                     });
}

/// @return whether an announcement is of an earlier upstream incarnation, of
/// one that has left, or older than the last one of the same incarnation.
bool UpstreamRegistration::IsStale(const UpstreamAnnouncement& upstream) const {
  if (HasLeft(upstream)) return true;
  if (upstream.started_at_ms != last_start_ms_) {
    return upstream.started_at_ms < last_start_ms_;
  }
  return (last_id_.empty() || upstream.id == last_id_) &&
         upstream.sequence < last_sequence_;
}

bool UpstreamRegistration::IsOfAnotherUpstream(
    const UpstreamAnnouncement& upstream) const {
  return (!config_.expected_service.empty() &&
          upstream.service != config_.expected_service) ||
         (!config_.expected_address.empty() &&
          upstream.address != config_.expected_address);
}

}  // namespace hibiscusglade
