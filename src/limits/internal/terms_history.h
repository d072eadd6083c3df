#ifndef HIBISCUSGLADE_LIMITS_INTERNAL_TERMS_HISTORY_H_
#define HIBISCUSGLADE_LIMITS_INTERNAL_TERMS_HISTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "limits/internal/limit_terms.h"
#include "versions/types/config_document.h"

namespace hibiscusglade {

/// The customers' limits in the last window, as versions changed them. Answers
/// the load pattern of a customer that sends more than it may while its limit
/// changes: what it has used stays used, under the limit that was in force
/// then. Deterministic; no I/O.
class TermsHistory {
 public:
  /// Another document, or another number of failure domains, is in force.
  void OnChange(const ConfigDocument& before, uint32_t domains_before,
                const ConfigDocument& after, uint32_t domains_after,
                Instant now);

  /// @param customer as in the document in force; with a limit.
  /// @param domains number of failure domains.
  LimitTerms Of(const CustomerConfig& customer, uint32_t domains,
                Instant now) const;

 private:
  std::map<std::string, std::vector<TermsChange>> changes_;  ///< Oldest first.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_LIMITS_INTERNAL_TERMS_HISTORY_H_
