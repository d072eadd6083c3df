#ifndef HIBISCUSGLADE_DISTRIBUTION_INTERNAL_VERSION_HISTORY_H_
#define HIBISCUSGLADE_DISTRIBUTION_INTERNAL_VERSION_HISTORY_H_

#include <deque>
#include <optional>

#include "distribution/types/distribution_types.h"
#include "versions/document_editor.h"
#include "versions/types/config_document.h"

namespace hibiscusglade {

/// The latest version of a daemon, and the last patches that led to it, from
/// which pulls of peers are answered.
class VersionHistory {
 public:
  VersionHistory();

  /// Makes a version the latest; ignores it when its number is not higher.
  /// @return whether the latest version changed.
  bool Add(const ConfigVersionPtr& version);

  /// Applies a peer's answer.
  /// @return the new latest version; nullptr when the answer is not newer, is
  /// based on another version, is invalid or does not match its digest.
  ConfigVersionPtr ApplyAnswer(const VersionPullAnswer& answer);

  /// @return the patches since the version in `pull`, or the whole document
  /// when it is smaller or these patches are not available.
  VersionPullAnswer AnswerTo(const VersionPull& pull) const;

  const ConfigVersionPtr& Latest() const { return latest_; }

 private:
  ConfigVersionPtr ApplyWhole(const VersionPullAnswer& answer);
  ConfigVersionPtr ApplySteps(const VersionPullAnswer& answer);
  void DropOldestSteps();

  struct Step {
    uint64_t base_number;
    Digest base_digest;
    VersionStep next;
  };

  ConfigVersionPtr latest_;
  std::deque<Step> steps_;
  /// Kept from one answer to the next; its base may be older than `latest_`.
  std::optional<DocumentEditor> editor_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_DISTRIBUTION_INTERNAL_VERSION_HISTORY_H_
