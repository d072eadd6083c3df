#include "owner/internal/begun_work.h"

namespace hibiscusglade {
namespace {

/// Statuses from here on tell that the upstream could not do its work.
constexpr int kFailedStatus = 500;

}  // namespace

std::optional<Duration> BegunWork::OnStart(const CallAttempt& attempt,
                                           const LoadReport& load,
                                           Instant now) {
  origins_.OnRequest(attempt.request_class, attempt.request.origin_service);
  if (trees_ == nullptr || load.running < load.slots || Contains(attempt)) {
    return std::nullopt;
  }
  const auto wait = trees_->RefuseNew(attempt.request_class, now);
  if (wait.has_value()) {
    metrics_.CounterOf("refused_for_calls_total", "").Add();
  }
  return wait;
}

void BegunWork::OnRunEnded(const Job& job, Instant now) {
  if (trees_ == nullptr) return;
  trees_->OnRunEnded(job.attempt.request_class, job.run_started,
                     job.head.status >= kFailedStatus, now);
}

bool BegunWork::Contains(const CallAttempt& attempt) const {
  return attempt.request.depth > 0 ||
         (attempt.request.customer.empty() &&
          origins_.AreCalls(attempt.request_class));
}

}  // namespace hibiscusglade
