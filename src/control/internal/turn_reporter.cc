#include "control/internal/turn_reporter.h"

#include <algorithm>
#include <string>

namespace hibiscusglade {
namespace {

/// A turn that takes longer is logged.
constexpr Duration kLongTurn = std::chrono::milliseconds(250);

}  // namespace

void TurnReporter::Report(Duration busy) {
  turn_seconds_.Record(std::max(busy, Duration{}));
  if (busy < kLongTurn || !long_turns_.AllowLine(clock_.Now())) return;
  Log(LogLevel::kWarning, "control",
      "The control thread was busy for " + MillisText(busy) + " ms.",
      {{"lines_left_out", std::to_string(long_turns_.TakeSuppressedCount())}});
}

}  // namespace hibiscusglade
