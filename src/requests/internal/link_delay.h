#ifndef HIBISCUSGLADE_REQUESTS_INTERNAL_LINK_DELAY_H_
#define HIBISCUSGLADE_REQUESTS_INTERNAL_LINK_DELAY_H_

#include <map>
#include <string>

#include "base/clock.h"
#include "calls/types/call_types.h"

namespace hibiscusglade {

/// Tells how long calls were on their way to this daemon, so that one that was
/// held up, by a cut link or while this process or its machine stood still, is
/// not run after its caller's time has passed. The clocks of two machines are
/// unrelated: what a call took longer than the fastest one of its connection
/// lately is its delay. Delays of a few turns at both ends don't count.
class LinkDelay {
 public:
  /// Takes the delay of a call off the time that it has left.
  /// @param connection that the call arrived on.
  /// @param sent_at by the sender's clock; zero: not told.
  /// @param received_at by the clock of this daemon.
  void Discount(const std::string& connection, Duration sent_at,
                Duration received_at, CallAttempt& attempt);

 private:
  /// Least difference of the two clocks in this period and the one before.
  /// Clocks drift apart by some milliseconds in that time.
  struct Fastest {
    Duration current{};
    Duration before{};
    Duration period_began{};
  };

  Duration DelayOf(const std::string& connection, Duration sent_at,
                   Duration received_at);
  void ForgetIdle(Duration now);

  std::map<std::string, Fastest> fastest_;  ///< By connection.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_REQUESTS_INTERNAL_LINK_DELAY_H_
