#ifndef HIBISCUSGLADE_DISTRIBUTION_TYPES_DISTRIBUTION_TYPES_H_
#define HIBISCUSGLADE_DISTRIBUTION_TYPES_DISTRIBUTION_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/digest.h"
#include "rollouts/rollout_codec.h"

namespace hibiscusglade {

/// Notifies a peer of the latest version that the sender has.
struct VersionNotice {
  uint64_t number = 0;
  Digest digest = 0;
  /// In an answer or a confirmation: time since a quorum confirmed that no
  /// later version was committed; absent when the sender does not know.
  std::optional<Duration> age = std::nullopt;
  /// Whether the receiver is asked for its own notice.
  bool wants_answer = false;
  /// How many of the receiver's nearest peers to pass a confirmation on to.
  uint32_t forward_to = 0;
  /// The sender is a relay of its failure domain and hears from others.
  bool relay = false;
  /// Time of an ask on the clock of who asks, which its answer returns: the age
  /// in the answer counts from then, however long the two were under way.
  std::optional<Instant> asked_at = std::nullopt;
  /// Rollouts that the sender knows; without their states when the receiver
  /// should know this revision.
  RolloutsAt rollouts = {};
  /// Whether the sender is in the receiver's failure domain; not on the wire.
  bool same_domain = false;

  friend bool operator==(const VersionNotice&, const VersionNotice&) = default;
};

/// Requests the versions that followed the latest one that the sender has.
struct VersionPull {
  uint64_t have_number = 0;
  Digest have_digest = 0;
  bool reads_compressed_steps = true;  ///< False for releases that can't.

  friend bool operator==(const VersionPull&, const VersionPull&) = default;
};

/// One version as a patch on its predecessor.
struct VersionStep {
  uint64_t number = 0;
  std::string patch;  ///< RFC 6902.

  friend bool operator==(const VersionStep&, const VersionStep&) = default;
};

/// Answer to a pull: patches on a base version, or a whole document. Also sent
/// without a pull when a version is put in use.
struct VersionPullAnswer {
  uint64_t base_number = 0;
  Digest base_digest = 0;
  std::vector<VersionStep> steps;  ///< In order, starting from the base.
  bool compress_steps = false;     ///< Whether to send them compressed.
  /// `steps` as they were received compressed, for passing them on.
  std::string compressed_steps;
  std::string whole;    ///< When not empty, replaces `steps`.
  uint64_t number = 0;  ///< Of the resulting version.
  Digest digest = 0;
  bool busy = false;  ///< Pull limit of the peer reached; ask another peer.
  bool unsolicited = false;  ///< Not sent in answer to a pull.
  /// How many of the receiver's nearest peers to pass an unsolicited answer on
  /// to.
  uint32_t forward_to = 0;

  friend bool operator==(const VersionPullAnswer&,
                         const VersionPullAnswer&) = default;
};

using DistributionMessage =
    std::variant<VersionNotice, VersionPull, VersionPullAnswer>;

/// A daemon with which versions are exchanged.
struct DistributionPeer {
  std::string instance;
  std::string failure_domain;
  std::string address;  ///< Control address, "ip:port".
  bool replica = false;

  friend bool operator==(const DistributionPeer&,
                         const DistributionPeer&) = default;
};

/// What a daemon did to obtain newer versions, from when it learned that one
/// exists until it put one in use.
struct CatchUp {
  Duration behind{};        ///< Since it learned of a newer version.
  uint32_t pulls = 0;       ///< Pulls sent.
  uint32_t busy = 0;        ///< Pulls refused because of the peer's limit.
  uint32_t unanswered = 0;  ///< Pulls without an answer within the timeout.
  uint32_t unusable = 0;    ///< Answers that did not lead to a newer version.
  Duration answer_wait{};   ///< From the last pull to its answer.

  friend bool operator==(const CatchUp&, const CatchUp&) = default;
};

struct DistributionSend {
  std::string address;
  DistributionMessage message;

  friend bool operator==(const DistributionSend&,
                         const DistributionSend&) = default;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_DISTRIBUTION_TYPES_DISTRIBUTION_TYPES_H_
