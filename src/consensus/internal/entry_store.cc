#include "consensus/internal/entry_store.h"

#include <algorithm>
#include <utility>

#include "base/base_result_codes.h"
#include "consensus/consensus_result_codes.h"
#include "consensus/internal/record_format.h"

namespace hibiscusglade {
namespace {

constexpr char kVoteFile[] = "vote";
constexpr char kSnapshotFile[] = "snapshot";
constexpr char kLogFile[] = "log";

std::string RecordOf(std::string_view bytes) {
  std::string record;
  AppendRecord(bytes, record);
  return record;
}

/// Reads a file that holds exactly one record.
std::optional<std::string> ReadRecordFile(DataFolder& folder,
                                          const std::string& name,
                                          std::error_code& error) {
  auto content = folder.Read(name, error);
  if (!content.has_value()) return std::nullopt;
  std::string_view rest = *content;
  auto bytes = TakeRecord(rest);
  if (bytes.has_value() && rest.empty()) return std::string(*bytes);
  error = ConsensusCode::kLogDamaged;
  return std::nullopt;
}

/// Drops the entries that the snapshot covers. If the log conflicts with the
/// snapshot, drops all entries.
void DropObsoleteEntries(const ConsensusSnapshot& snapshot,
                         std::vector<LogEntry>& entries) {
  const bool conflicts =
      std::any_of(entries.begin(), entries.end(), [&](const LogEntry& entry) {
        return entry.index == snapshot.last_index &&
               entry.term != snapshot.last_term;
      });
  std::erase_if(entries, [&](const LogEntry& entry) {
    return conflicts || entry.index <= snapshot.last_index;
  });
}

}  // namespace

EntryStore::EntryStore(DataFolder& folder, std::string prefix)
    : folder_(folder), prefix_(std::move(prefix)) {}

std::error_code EntryStore::Load(RestoredConsensusState& restored) {
  std::error_code error;
  if (auto vote = ReadRecordFile(folder_, FileName(kVoteFile), error)) {
    auto decoded = DecodeVote(*vote);
    if (!decoded.has_value()) return ConsensusCode::kLogDamaged;
    restored.vote = std::move(*decoded);
  }
  if (error) return error;
  if (auto bytes = ReadRecordFile(folder_, FileName(kSnapshotFile), error)) {
    restored.snapshot = DecodeSnapshot(*bytes);
    if (!restored.snapshot.has_value()) return ConsensusCode::kLogDamaged;
  }
  if (error) return error;
  error = ReadLog(restored.entries);
  if (error) return error;
  if (HasMissingFile(restored)) return ConsensusCode::kLogDamaged;
  const size_t stored = restored.entries.size();
  LogIndex base = 0;
  if (restored.snapshot.has_value()) {
    base = restored.snapshot->last_index;
    DropObsoleteEntries(*restored.snapshot, restored.entries);
  }
  if (!restored.entries.empty() && restored.entries[0].index != base + 1) {
    return ConsensusCode::kLogDamaged;
  }
  // Obsolete entries that stayed in the file would be followed by a gap once
  // new ones are appended.
  if (restored.entries.size() != stored) return ReplaceLog(restored.entries);
  return OpenLog();
}

std::error_code EntryStore::Remove() {
  log_.reset();
  log_bytes_ = 0;
  for (const char* file : {kVoteFile, kSnapshotFile, kLogFile}) {
    std::error_code error = folder_.Remove(FileName(file));
    if (error) return error;
  }
  return {};
}

std::error_code EntryStore::SaveVote(const VoteState& vote) {
  return folder_.WriteAtomically(FileName(kVoteFile),
                                 RecordOf(EncodeVote(vote)));
}

std::error_code EntryStore::SaveSnapshot(const ConsensusSnapshot& snapshot,
                                         const std::vector<LogEntry>& after) {
  // The snapshot is written first: after a crash in between, the log is merely
  // longer than needed. A log without its snapshot would have a gap.
  std::error_code error = folder_.WriteAtomically(
      FileName(kSnapshotFile), RecordOf(EncodeSnapshot(snapshot)));
  if (error) return error;
  return ReplaceLog(after);
}

std::error_code EntryStore::ReplaceLog(const std::vector<LogEntry>& entries) {
  std::string log;
  for (const LogEntry& entry : entries) AppendRecord(EncodeEntry(entry), log);
  std::error_code error = folder_.WriteAtomically(FileName(kLogFile), log);
  if (error) return error;
  log_bytes_ = log.size();
  return OpenLog();
}

std::error_code EntryStore::Append(const std::vector<LogEntry>& entries) {
  std::string bytes;
  for (const LogEntry& entry : entries) AppendRecord(EncodeEntry(entry), bytes);
  std::error_code error = log_->Append(bytes);
  if (!error) {
    log_bytes_ += bytes.size();
    return {};
  }
  // The file may contain part of the bytes. A record appended after them would
  // make the log look damaged before its end.
  if (log_->Truncate(log_bytes_)) return BaseCode::kSyncFailed;
  return error;
}

std::error_code EntryStore::Sync() { return log_->Sync(); }

std::error_code EntryStore::ReadLog(std::vector<LogEntry>& entries) {
  std::error_code error;
  auto content = folder_.Read(FileName(kLogFile), error);
  if (!content.has_value()) return error;
  std::string_view rest = *content;
  while (auto bytes = TakeRecord(rest)) {
    auto entry = DecodeEntry(*bytes);
    if (!entry.has_value()) return ConsensusCode::kLogDamaged;
    while (!entries.empty() && entries.back().index >= entry->index) {
      entries.pop_back();
    }
    if (!entries.empty() && entries.back().index + 1 != entry->index) {
      return ConsensusCode::kLogDamaged;
    }
    entries.push_back(std::move(*entry));
  }
  log_bytes_ = content->size() - rest.size();
  if (rest.empty()) return {};
  if (ContainsLaterRecord(rest)) return ConsensusCode::kLogDamaged;
  auto file = folder_.OpenAppend(FileName(kLogFile), error);
  if (error) return error;
  error = file->Truncate(log_bytes_);
  return error ? error : file->Sync();
}

bool EntryStore::HasMissingFile(const RestoredConsensusState& restored) const {
  // The log file is created before the first vote is stored, and a term is
  // stored (in the vote file) before the first entry.
  const std::vector<std::string> names = folder_.Names();
  auto exists = [&](const char* file) {
    return std::find(names.begin(), names.end(), FileName(file)) != names.end();
  };
  const bool has_state =
      !restored.entries.empty() || restored.snapshot.has_value();
  return (exists(kVoteFile) && !exists(kLogFile)) ||
         (has_state && !exists(kVoteFile));
}

std::error_code EntryStore::OpenLog() {
  std::error_code error;
  auto log = folder_.OpenAppend(FileName(kLogFile), error);
  // The open handle may refer to the replaced file, so writing must stop.
  if (error) return BaseCode::kSyncFailed;
  log_ = std::move(log);
  return {};
}

}  // namespace hibiscusglade
