#ifndef HIBISCUSGLADE_ADMISSION_SUSPICION_INQUIRY_H_
#define HIBISCUSGLADE_ADMISSION_SUSPICION_INQUIRY_H_

#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace hibiscusglade {

/// Decides when an owner asks which requests others suspect. It answers this
/// load pattern: a request that crashes upstreams comes again and again, while
/// the daemons beside the upstreams are restarted, or their upstreams are gone
/// when a suspicion is spread. A daemon asks whenever an upstream is announced
/// that it did not use before, and nothing runs there until it was answered, or
/// for a short time at most.
class SuspicionInquiry {
 public:
  /// An upstream is used that was not used before.
  void Begin(Instant now);

  /// No upstream is used any more.
  void End() { *this = {}; }

  /// @return whether ToAsk() is to be called.
  bool Due(Instant now) const { return open_ && now >= next_round_; }

  /// @param peers addresses of others that may know, the preferred ones first.
  /// @return those to ask now.
  std::vector<std::string> ToAsk(const std::vector<std::string>& peers,
                                 Instant now);

  /// A peer has sent its suspicions.
  void OnAnswer(const std::string& peer);

  /// @return whether requests have to wait for an answer.
  bool HoldsRuns(Instant now) const {
    return open_ && !unanswered_.empty() && now < hold_until_;
  }

 private:
  bool open_ = false;
  bool answered_ = false;  ///< By a peer of the present round.
  Instant next_round_;
  Instant hold_until_;  ///< Zero before the first peer was asked.
  Duration pause_{};    ///< To the next round.
  std::set<std::string> unanswered_;
  std::set<std::string> asked_;  ///< In this and earlier rounds.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ADMISSION_SUSPICION_INQUIRY_H_
