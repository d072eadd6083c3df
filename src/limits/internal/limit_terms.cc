#include "limits/internal/limit_terms.h"

#include <algorithm>
#include <cmath>

namespace hibiscusglade {
namespace {

constexpr double kWindowSeconds = 5;
/// In any window a customer may run 1.1 times what its limit allows, and 20
/// requests. The parts that the buckets hold; the rest is for what passes
/// before a coordinator hears of it (docs/design/quotas.md).
constexpr double kOverageHeld = 0.05;
constexpr double kSlackHeld = 18;
constexpr double kSmallCapacity = 12;
constexpr uint32_t kMinFreeCredit = 3;

}  // namespace

DomainTerms TermsOf(const CustomerConfig& customer, uint32_t domains) {
  const double parts = std::max(1U, domains);
  const double overage =
      kOverageHeld * (customer.rate_per_s * kWindowSeconds + customer.burst);
  DomainTerms terms;
  terms.rate = customer.rate_per_s / parts;
  terms.capacity = (customer.burst + overage + kSlackHeld) / parts;
  // A small customer keeps most of what it has for a few requests at once.
  terms.tight_below =
      std::max(0.5, std::min(terms.capacity / 4, (terms.capacity - 8) / 2));
  return terms;
}

DomainTerms LooserOf(const DomainTerms& a, const DomainTerms& b) {
  return {std::max(a.rate, b.rate), std::max(a.capacity, b.capacity),
          std::max(a.tight_below, b.tight_below)};
}

DomainTerms LimitTerms::Strictest() const {
  DomainTerms strictest = current;
  for (const auto& [before, at] : changes) {
    strictest.rate = std::min(strictest.rate, before.rate);
    strictest.capacity = std::min(strictest.capacity, before.capacity);
  }
  return strictest;
}

ChangedBucket LimitTerms::Bucket(double heard) const {
  ChangedBucket bucket{current.Bucket(heard), {}};
  for (const TermsChange& change : changes) {
    bucket.changes.push_back({change.before.Bucket(heard), change.at});
  }
  return bucket;
}

ChangedBucket LimitTerms::SafeShare(uint32_t daemons, double dice) const {
  ChangedBucket bucket{current.SafeShare(daemons, dice), {}};
  for (const TermsChange& change : changes) {
    bucket.changes.push_back(
        {change.before.SafeShare(daemons, dice), change.at});
  }
  return bucket;
}

BucketTerms DomainTerms::SafeShare(uint32_t daemons, double dice) const {
  const double parts = std::max(1U, daemons);
  return {rate / parts, std::floor(capacity / parts + dice),
          std::max(1.0, capacity / parts)};
}

uint32_t DomainTerms::FreeCredit(uint32_t daemons) const {
  const double part = capacity / (4.0 * std::max(1U, daemons));
  return std::max(kMinFreeCredit, static_cast<uint32_t>(part));
}

bool DomainTerms::IsSmall() const { return capacity < kSmallCapacity; }

}  // namespace hibiscusglade
