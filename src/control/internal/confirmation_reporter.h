#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_CONFIRMATION_REPORTER_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_CONFIRMATION_REPORTER_H_

#include <optional>

#include "base/clock.h"
#include "routing/route_table_holder.h"

namespace hibiscusglade {

/// Publishes when the version in use was last confirmed as the latest one, and
/// logs when confirmations stay away and when they are back.
class ConfirmationReporter {
 public:
  explicit ConfirmationReporter(RouteTableHolder& routes) : routes_(routes) {}

  /// @param age since the last confirmation; absent while there was none.
  /// @param in_use nullptr while no version is in use.
  void Report(const std::optional<Duration>& age,
              const ConfigVersionPtr& in_use, Instant now);

 private:
  RouteTableHolder& routes_;
  std::optional<Instant> confirmed_at_;
  bool missing_ = false;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_CONFIRMATION_REPORTER_H_
