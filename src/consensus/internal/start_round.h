#ifndef HIBISCUSGLADE_CONSENSUS_INTERNAL_START_ROUND_H_
#define HIBISCUSGLADE_CONSENSUS_INTERNAL_START_ROUND_H_

#include <cstdint>
#include <map>

#include "consensus/types/consensus_types.h"

namespace hibiscusglade {

/// What the other voters have told a replica since it started: that they know
/// no leader, and where their logs end.
///
/// Load pattern: all replicas lose power at one moment, while a mesh of daemons
/// waits for a leader. By timers alone, two candidates of the same moment cost
/// an election time-out. When all voters know no leader there is none whose
/// heartbeat a time-out would wait for, and all choose the same candidate: the
/// one whose log is longest, by name among equals. Who does not answer may lead
/// or may have helped to elect a leader; then the time-outs stay.
///
/// A notice counts when it names the start of this process: one that an earlier
/// process was sent may be older than a leader.
class StartRound {
 public:
  /// @param id identifies this process among those of the replica; not 0.
  StartRound(MemberId self, uint64_t id) : self_(std::move(self)), id_(id) {}

  uint64_t Id() const { return id_; }

  /// Ends the round: this replica has a leader, has voted or stands itself.
  void Close() {
    open_ = false;
    vouched_ = false;
  }

  /// @return whether the sender of a notice has to be told in turn.
  bool MustAnswer(const MemberId& from, const StartNotice& notice);

  /// @return whether the notice counts.
  bool OnNotice(const MemberId& from, Term term, const StartNotice& notice);

  /// @return the number of other voters that know no leader.
  size_t Heard() const { return heard_.size(); }

  /// @return whether this replica's log is the one to stand with, among those
  /// that were heard of.
  bool IsBest(Term last_term, LogIndex last_index) const;

  /// @return the highest term of those that were heard of.
  Term HighestTerm() const;

  /// Until the round ends, vote requests tell their receivers that all voters
  /// know no leader.
  void Vouch() { vouched_ = true; }

  /// @return what to send a voter in VoteRequest::receiver_start.
  uint64_t VouchedStartOf(const MemberId& voter) const;

 private:
  struct Position {
    Term term = 0;
    Term last_term = 0;
    LogIndex last_index = 0;
    uint64_t start = 0;
  };

  MemberId self_;
  uint64_t id_;
  bool open_ = true;
  bool vouched_ = false;
  std::map<MemberId, Position> heard_;
  std::map<MemberId, uint64_t> answered_;  ///< Starts of their processes.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONSENSUS_INTERNAL_START_ROUND_H_
