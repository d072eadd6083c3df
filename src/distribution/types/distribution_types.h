#ifndef HIBISCUSGLADE_DISTRIBUTION_TYPES_DISTRIBUTION_TYPES_H_
#define HIBISCUSGLADE_DISTRIBUTION_TYPES_DISTRIBUTION_TYPES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/digest.h"

namespace hibiscusglade {

/// Tells a peer which version the sender has in use.
struct VersionNotice {
  uint64_t number = 0;
  Digest digest = 0;

  friend bool operator==(const VersionNotice&, const VersionNotice&) = default;
};

/// Asks a peer for what came after a version.
struct VersionPull {
  uint64_t have_number = 0;
  Digest have_digest = 0;

  friend bool operator==(const VersionPull&, const VersionPull&) = default;
};

/// One version as a change of the one before it.
struct VersionStep {
  uint64_t number = 0;
  std::string patch;  ///< RFC 6902.

  friend bool operator==(const VersionStep&, const VersionStep&) = default;
};

/// Patches from a base, or a whole document.
struct VersionPullAnswer {
  uint64_t base_number = 0;
  Digest base_digest = 0;
  std::vector<VersionStep> steps;  ///< In order, from the base on.
  std::string whole;               ///< Used when not empty.
  uint64_t number = 0;
  Digest digest = 0;
  bool busy = false;  ///< The peer serves enough others; ask elsewhere.

  friend bool operator==(const VersionPullAnswer&,
                         const VersionPullAnswer&) = default;
};

using DistributionMessage =
    std::variant<VersionNotice, VersionPull, VersionPullAnswer>;

/// A peer as the distribution sees it.
struct DistributionPeer {
  std::string instance;
  std::string failure_domain;
  std::string address;  ///< Control address, "ip:port".
  bool replica = false;

  friend bool operator==(const DistributionPeer&,
                         const DistributionPeer&) = default;
};

struct DistributionSend {
  std::string address;
  DistributionMessage message;

  friend bool operator==(const DistributionSend&,
                         const DistributionSend&) = default;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_DISTRIBUTION_TYPES_DISTRIBUTION_TYPES_H_
