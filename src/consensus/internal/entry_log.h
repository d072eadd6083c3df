#ifndef HIBISCUSGLADE_CONSENSUS_INTERNAL_ENTRY_LOG_H_
#define HIBISCUSGLADE_CONSENSUS_INTERNAL_ENTRY_LOG_H_

#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "consensus/types/consensus_types.h"

namespace hibiscusglade {

/// In-memory log: a snapshot and the entries after it, without gaps.
class EntryLog {
 public:
  EntryLog(ConsensusSnapshot snapshot, std::vector<LogEntry> entries)
      : snapshot_(std::move(snapshot)),
        entries_(std::make_move_iterator(entries.begin()),
                 std::make_move_iterator(entries.end())) {}

  LogIndex FirstIndex() const { return snapshot_.last_index + 1; }
  LogIndex LastIndex() const { return snapshot_.last_index + entries_.size(); }
  Term LastTerm() const { return *TermAt(LastIndex()); }

  /// @return the term of an entry; nullopt if it is compacted or absent.
  std::optional<Term> TermAt(LogIndex index) const {
    if (index == snapshot_.last_index) return snapshot_.last_term;
    if (index < FirstIndex() || index > LastIndex()) return std::nullopt;
    return At(index).term;
  }

  /// @param index within FirstIndex() to LastIndex().
  const LogEntry& At(LogIndex index) const {
    return entries_[index - FirstIndex()];
  }

  void Append(LogEntry entry) { entries_.push_back(std::move(entry)); }

  /// Removes all entries from an index on.
  void TruncateFrom(LogIndex index) {
    while (LastIndex() >= index && !entries_.empty()) entries_.pop_back();
  }

  /// Replaces the entries up to the snapshot's last index by the snapshot;
  /// later entries remain.
  void CompactTo(ConsensusSnapshot snapshot) {
    while (!entries_.empty() && entries_.front().index <= snapshot.last_index) {
      entries_.pop_front();
    }
    snapshot_ = std::move(snapshot);
  }

  /// Removes all entries and starts from the snapshot.
  void ResetTo(ConsensusSnapshot snapshot) {
    entries_.clear();
    snapshot_ = std::move(snapshot);
  }

  std::vector<LogEntry> Entries() const {
    return {entries_.begin(), entries_.end()};
  }

  const ConsensusSnapshot& Snapshot() const { return snapshot_; }

 private:
  ConsensusSnapshot snapshot_;
  std::deque<LogEntry> entries_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONSENSUS_INTERNAL_ENTRY_LOG_H_
