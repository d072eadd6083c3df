#ifndef HIBISCUSGLADE_LIMITS_INTERNAL_LIMIT_TERMS_H_
#define HIBISCUSGLADE_LIMITS_INTERNAL_LIMIT_TERMS_H_

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "limits/internal/window_use.h"
#include "versions/types/config_document.h"

namespace hibiscusglade {

/// Between two reports of a daemon that lets requests pass.
inline constexpr Duration kReportInterval = std::chrono::milliseconds(250);
/// Between two reports of one that doesn't.
inline constexpr Duration kIdleReportInterval = std::chrono::milliseconds(500);
/// Between two reports of one that needs credit.
inline constexpr Duration kUrgentReportInterval = std::chrono::milliseconds(50);
/// A daemon goes by a coordinator's word for this long after the report that
/// it answers.
inline constexpr Duration kContactTime = std::chrono::seconds(1);

/// What one failure domain may let pass of a customer's requests: a fixed share
/// of the limit, so that a cut between domains changes nothing.
struct DomainTerms {
  double rate = 0;         ///< Requests per second.
  double capacity = 0;     ///< Requests that may come at once.
  double tight_below = 0;  ///< Requests left below which credit is needed.

  friend bool operator==(const DomainTerms&, const DomainTerms&) = default;

  /// @return the terms of the domain's bucket while it is coordinated.
  /// @param heard part of its daemons that the coordinator has heard from; the
  /// others may live on their safe shares.
  BucketTerms Bucket(double heard) const {
    return {rate * heard, capacity * heard, capacity * heard};
  }

  /// @return the terms of one daemon's bucket that are safe without anybody's
  /// word.
  /// @param daemons of the domain.
  /// @param dice in [0, 1), of this daemon and customer: decides whether it is
  /// among those with a token when there are fewer tokens than daemons.
  BucketTerms SafeShare(uint32_t daemons, double dice) const;

  /// @return requests that a daemon may let pass beyond its last report while
  /// the customer is far below its limit.
  uint32_t FreeCredit(uint32_t daemons) const;

  /// @return whether each request is to be reported at once.
  bool IsSmall() const;
};

/// @return terms that allow what either of them allows.
DomainTerms LooserOf(const DomainTerms& a, const DomainTerms& b);

/// A change of a customer's terms.
struct TermsChange {
  DomainTerms before;
  Instant at;

  friend bool operator==(const TermsChange&, const TermsChange&) = default;
};

/// A customer's terms, and how they changed in the window.
struct LimitTerms {
  DomainTerms current;
  std::vector<TermsChange> changes;  ///< Oldest first.

  friend bool operator==(const LimitTerms&, const LimitTerms&) = default;

  /// @return the strictest of these terms in each respect: the coordinator may
  /// not have the version yet that loosened them.
  DomainTerms Strictest() const;

  /// See DomainTerms.
  ChangedBucket Bucket(double heard) const;
  ChangedBucket SafeShare(uint32_t daemons, double dice) const;
};

/// @param domains number of failure domains.
/// @return the terms for a customer with a limit.
DomainTerms TermsOf(const CustomerConfig& customer, uint32_t domains);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_LIMITS_INTERNAL_LIMIT_TERMS_H_
