#include "limits/internal/window_use.h"

#include <algorithm>
#include <limits>

namespace hibiscusglade {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// @return requests that a bucket lets pass in a window at most.
double AllowedInWindow(const BucketTerms& terms) {
  return terms.capacity +
         terms.rate * Seconds(WindowUse::kWindow - WindowUse::kSlot);
}

}  // namespace

void WindowUse::Add(uint32_t requests, Instant now) {
  Advance(now);
  SlotOf(0) += requests;
}

void WindowUse::Remove(uint32_t requests, Instant since, Instant now) {
  Advance(now);
  const auto slot = static_cast<uint64_t>(since.time_since_epoch() / kSlot);
  if (slot + kSlots <= newest_) return;
  for (size_t age = slot < newest_ ? newest_ - slot + 1 : 1;
       age-- > 0 && requests > 0;) {
    const uint32_t removed = std::min(requests, SlotOf(age));
    SlotOf(age) -= removed;
    requests -= removed;
  }
}

void WindowUse::AddSlots(const std::vector<uint32_t>& slots, Instant now) {
  Advance(now);
  for (size_t age = 0; age < std::min(slots.size(), kSlots); ++age) {
    SlotOf(age) += slots[age];
  }
}

std::vector<uint32_t> WindowUse::SlotsNewestFirst(Instant now) {
  Advance(now);
  std::vector<uint32_t> slots;
  for (size_t age = 0; age < kSlots; ++age) slots.push_back(SlotOf(age));
  while (!slots.empty() && slots.back() == 0) slots.pop_back();
  return slots;
}

double WindowUse::Level(const BucketTerms& terms, Instant now) {
  return Level(ChangedBucket{terms, {}}, now);
}

double WindowUse::Level(const ChangedBucket& bucket, Instant now) {
  Advance(now);
  const auto terms_at = [&](size_t age) {
    const auto slot = static_cast<int64_t>(newest_ - age);
    BucketTerms terms = bucket.terms;
    for (const BucketChange& change : bucket.changes) {
      if (change.at.time_since_epoch() > slot * kSlot) {
        terms = LooserOf(terms, change.before);
      }
    }
    return terms;
  };
  double level = terms_at(kSlots - 1).start;
  const Duration begun = now.time_since_epoch() % kSlot;
  for (size_t age = kSlots; age-- > 0;) {
    const BucketTerms terms = terms_at(age);
    // Gains before it loses, which is the lower of the two orders.
    const double gain = terms.rate * Seconds(age == 0 ? begun : kSlot);
    level = std::min(terms.capacity, level + gain) - SlotOf(age);
  }
  return std::min(level, RoomBesideEarlierUse(bucket));
}

double WindowUse::RoomBesideEarlierUse(const ChangedBucket& bucket) {
  double room = std::numeric_limits<double>::infinity();
  if (bucket.changes.empty()) return room;
  double allowed = AllowedInWindow(bucket.terms);
  for (auto change = bucket.changes.rbegin(); change != bucket.changes.rend();
       ++change) {
    room = std::min(room, allowed - UseSince(change->at));
    allowed = std::max(allowed, AllowedInWindow(change->before));
  }
  return std::min(room, allowed - UseSince({}));
}

double WindowUse::UseSince(Instant since) {
  double use = 0;
  for (size_t age = 0; age < kSlots; ++age) {
    const auto slot = static_cast<int64_t>(newest_ - age);
    if (slot * kSlot >= since.time_since_epoch()) use += SlotOf(age);
  }
  return use;
}

uint64_t WindowUse::Sum(Instant now) {
  Advance(now);
  uint64_t sum = 0;
  for (uint32_t slot : slots_) sum += slot;
  return sum;
}

void WindowUse::Advance(Instant now) {
  const auto slot = static_cast<uint64_t>(now.time_since_epoch() / kSlot);
  if (slot <= newest_) return;
  const uint64_t steps = std::min<uint64_t>(slot - newest_, kSlots);
  newest_ = slot;
  for (size_t age = 0; age < steps; ++age) SlotOf(age) = 0;
}

}  // namespace hibiscusglade
