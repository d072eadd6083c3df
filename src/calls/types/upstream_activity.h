#ifndef HIBISCUSGLADE_CALLS_TYPES_UPSTREAM_ACTIVITY_H_
#define HIBISCUSGLADE_CALLS_TYPES_UPSTREAM_ACTIVITY_H_

#include <cstdint>
#include <string>

namespace hibiscusglade {

/// What the upstream beside a daemon does at a moment.
struct UpstreamActivity {
  std::string service;  ///< Empty: there is no upstream that serves.
  uint32_t slots = 0;
  uint32_t running = 0;
  uint64_t completed = 0;  ///< Runs since the daemon's start.

  friend bool operator==(const UpstreamActivity&,
                         const UpstreamActivity&) = default;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLS_TYPES_UPSTREAM_ACTIVITY_H_
