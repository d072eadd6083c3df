#ifndef HIBISCUSGLADE_CONSENSUS_INTERNAL_ENTRY_STORE_H_
#define HIBISCUSGLADE_CONSENSUS_INTERNAL_ENTRY_STORE_H_

#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "base/data_folder.h"
#include "consensus/consensus_codec.h"
#include "consensus/consensus_node.h"

namespace hibiscusglade {

/// A group's files in the data folder: vote, snapshot and log.
class EntryStore {
 public:
  EntryStore(DataFolder& folder, std::string prefix);

  /// Reads what a node needs to start again. A torn end of the log is cut; a
  /// damaged record before its end, a damaged vote or snapshot and a missing
  /// file are ConsensusCode::kLogDamaged.
  std::error_code Load(ConsensusRestored& restored);

  /// Removes the group's files.
  std::error_code Remove();

  /// Writes the vote; lasting when it returns without error.
  std::error_code SaveVote(const VoteState& vote);

  /// Replaces log and snapshot; lasting when it returns without error.
  std::error_code SaveSnapshot(const ConsensusSnapshot& snapshot,
                               const std::vector<LogEntry>& after);

  /// Appends entries; lasting only after Sync().
  /// @return BaseCode::kFileUnwritable with the file as it was before, so
  /// that the call may be repeated; kSyncFailed when it could not be undone.
  std::error_code Append(const std::vector<LogEntry>& entries);
  std::error_code Sync();

  /// @return bytes in the log file.
  uint64_t LogBytes() const { return log_bytes_; }

 private:
  std::error_code ReadLog(std::vector<LogEntry>& entries);
  std::error_code ReplaceLog(const std::vector<LogEntry>& entries);
  bool LacksAFile(const ConsensusRestored& restored) const;
  std::error_code OpenLog();
  std::string NameOf(const char* file) const { return prefix_ + file; }

  DataFolder& folder_;
  std::string prefix_;
  std::unique_ptr<AppendFile> log_;
  uint64_t log_bytes_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONSENSUS_INTERNAL_ENTRY_STORE_H_
