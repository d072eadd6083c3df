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

/// Reads and writes a group's files in the data folder: vote, snapshot and log.
class EntryStore {
 public:
  EntryStore(DataFolder& folder, std::string prefix);

  /// Reads the state from which a node restarts. An incomplete last record of
  /// the log is truncated.
  /// @return ConsensusCode::kLogDamaged if an earlier record, the vote or the
  /// snapshot is damaged or a file is missing.
  std::error_code Load(RestoredConsensusState& restored);

  /// Removes the group's files.
  std::error_code Remove();

  /// Writes the vote; durable on return without error.
  std::error_code SaveVote(const VoteState& vote);

  /// Replaces snapshot and log; durable on return without error.
  /// @param after the entries of the new log, which follow the snapshot.
  std::error_code SaveSnapshot(const ConsensusSnapshot& snapshot,
                               const std::vector<LogEntry>& after);

  /// Appends entries; durable only after Sync().
  /// @return BaseCode::kFileUnwritable if the file is unchanged, so that the
  /// call may be repeated; kSyncFailed if a partial write could not be undone.
  std::error_code Append(const std::vector<LogEntry>& entries);
  std::error_code Sync();

  /// @return size of the log file in bytes.
  uint64_t LogBytes() const { return log_bytes_; }

 private:
  std::error_code ReadLog(std::vector<LogEntry>& entries);
  std::error_code ReplaceLog(const std::vector<LogEntry>& entries);
  bool HasMissingFile(const RestoredConsensusState& restored) const;
  std::error_code OpenLog();
  std::string FileName(const char* file) const { return prefix_ + file; }

  DataFolder& folder_;
  std::string prefix_;
  std::unique_ptr<AppendFile> log_;
  uint64_t log_bytes_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONSENSUS_INTERNAL_ENTRY_STORE_H_
