#include "limits/internal/terms_history.h"

namespace hibiscusglade {
namespace {

/// Terms of a customer without a limit: no bucket is ever empty.
constexpr double kUnlimited = 1e9;

DomainTerms TermsOrUnlimited(const CustomerConfig& customer, uint32_t domains) {
  if (customer.rate_per_s > 0) return TermsOf(customer, domains);
  return {kUnlimited, kUnlimited, 0};
}

bool SameLimit(const CustomerConfig& a, const CustomerConfig& b) {
  return a.rate_per_s == b.rate_per_s && a.burst == b.burst;
}

bool IsInWindow(const TermsChange& change, Instant now) {
  return now - change.at <= WindowUse::kWindow;
}

}  // namespace

void TermsHistory::OnChange(const ConfigDocument& before,
                            uint32_t domains_before,
                            const ConfigDocument& after, uint32_t domains_after,
                            Instant now) {
  std::erase_if(changes_, [now](const auto& item) {
    return !IsInWindow(item.second.back(), now);
  });
  for (const auto& [name, customer] : before.customers) {
    const auto found = after.customers.find(name);
    if (found != after.customers.end() && SameLimit(customer, found->second) &&
        domains_before == domains_after) {
      continue;
    }
    std::vector<TermsChange>& changes = changes_[name];
    std::erase_if(changes, [now](const TermsChange& change) {
      return !IsInWindow(change, now);
    });
    const DomainTerms terms = TermsOrUnlimited(customer, domains_before);
    if (!changes.empty() && WindowUse::InOneSlot(changes.back().at, now)) {
      changes.back() = {LooserOf(changes.back().before, terms), now};
    } else {
      changes.push_back({terms, now});
    }
  }
}

LimitTerms TermsHistory::Of(const CustomerConfig& customer, uint32_t domains,
                            Instant now) const {
  LimitTerms terms{TermsOf(customer, domains), {}};
  const auto found = changes_.find(customer.name);
  if (found == changes_.end()) return terms;
  for (const TermsChange& change : found->second) {
    if (IsInWindow(change, now)) terms.changes.push_back(change);
  }
  return terms;
}

}  // namespace hibiscusglade
