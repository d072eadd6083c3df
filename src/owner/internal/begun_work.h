#ifndef HIBISCUSGLADE_OWNER_INTERNAL_BEGUN_WORK_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_BEGUN_WORK_H_

#include <optional>
#include <string>

#include "admission/call_origins.h"
#include "admission/call_trees.h"
#include "base/metrics.h"
#include "owner/internal/job.h"

namespace hibiscusglade {

/// Tells calls of begun work from new work at an owner, and refuses new work
/// whose own calls would be refused.
class BegunWork {
 public:
  /// @param trees nullptr: no new work is refused for its calls. It must
  /// outlive this object, as must `metrics`.
  BegunWork(CallTrees* trees, Metrics& metrics)
      : trees_(trees), metrics_(metrics) {}

  /// @param load of the upstream. Nothing is refused while it has free slots:
  /// a slot that nobody else wants is best used for a request that may fail.
  /// @return the wait of a new attempt that is refused for its calls; nullopt
  /// when it is not.
  std::optional<Duration> OnStart(const CallAttempt& attempt,
                                  const LoadReport& load, Instant now);

  void OnRunEnded(const Job& job, Instant now);

  /// @return whether an upstream makes the call for a request that it runs. Who
  /// names a customer asks for new work.
  bool Contains(const CallAttempt& attempt) const;

  /// @return whether all requests of a class are such calls.
  bool IsClass(const std::string& request_class) const {
    return origins_.AreCalls(request_class);
  }

 private:
  CallOrigins origins_;
  CallTrees* trees_;
  Metrics& metrics_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_BEGUN_WORK_H_
