#ifndef HIBISCUSGLADE_DISTRIBUTION_INTERNAL_VERSION_HISTORY_H_
#define HIBISCUSGLADE_DISTRIBUTION_INTERNAL_VERSION_HISTORY_H_

#include <deque>

#include "distribution/types/distribution_types.h"
#include "versions/types/config_document.h"

namespace hibiscusglade {

/// The versions a daemon holds for itself and to answer pulls of its peers.
class VersionHistory {
 public:
  VersionHistory();

  /// Takes a newer version; older or equal numbers are dropped.
  /// @return whether it was taken.
  bool Take(const ConfigVersionPtr& version);

  /// Applies a peer's answer.
  /// @return the new latest version; nullptr when the answer is older, made
  /// from another base, or does not give the digest it states.
  ConfigVersionPtr TakeAnswer(const VersionPullAnswer& answer);

  /// @return the smaller of the patches after `pull` and the whole document.
  VersionPullAnswer AnswerTo(const VersionPull& pull) const;

  const ConfigVersionPtr& Latest() const { return latest_; }

 private:
  void DropOldSteps();

  struct Step {
    uint64_t base_number;
    Digest base_digest;
    VersionStep next;
  };

  ConfigVersionPtr latest_;
  std::deque<Step> steps_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_DISTRIBUTION_INTERNAL_VERSION_HISTORY_H_
