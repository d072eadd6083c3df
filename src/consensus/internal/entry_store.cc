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

/// Drops entries that the snapshot replaces, and those of a log that differs
/// from it.
void DropReplaced(const ConsensusSnapshot& snapshot,
                  std::vector<LogEntry>& entries) {
  const bool differs =
      std::any_of(entries.begin(), entries.end(), [&](const LogEntry& entry) {
        return entry.index == snapshot.last_index &&
               entry.term != snapshot.last_term;
      });
  std::erase_if(entries, [&](const LogEntry& entry) {
    return differs || entry.index <= snapshot.last_index;
  });
}

}  // namespace

EntryStore::EntryStore(DataFolder& folder, std::string prefix)
    : folder_(folder), prefix_(std::move(prefix)) {}

std::error_code EntryStore::Load(ConsensusRestored& restored) {
  std::error_code error;
  if (auto vote = ReadRecordFile(folder_, NameOf(kVoteFile), error)) {
    auto decoded = DecodeVote(*vote);
    if (!decoded.has_value()) return ConsensusCode::kLogDamaged;
    restored.vote = std::move(*decoded);
  }
  if (error) return error;
  if (auto bytes = ReadRecordFile(folder_, NameOf(kSnapshotFile), error)) {
    restored.snapshot = DecodeSnapshot(*bytes);
    if (!restored.snapshot.has_value()) return ConsensusCode::kLogDamaged;
  }
  if (error) return error;
  error = ReadLog(restored.entries);
  if (error) return error;
  if (LacksAFile(restored)) return ConsensusCode::kLogDamaged;
  const size_t stored = restored.entries.size();
  LogIndex base = 0;
  if (restored.snapshot.has_value()) {
    base = restored.snapshot->last_index;
    DropReplaced(*restored.snapshot, restored.entries);
  }
  if (!restored.entries.empty() && restored.entries[0].index != base + 1) {
    return ConsensusCode::kLogDamaged;
  }
  // Entries left from before the snapshot would leave a gap in the file.
  if (restored.entries.size() != stored) return ReplaceLog(restored.entries);
  return OpenLog();
}

std::error_code EntryStore::Remove() {
  log_.reset();
  log_bytes_ = 0;
  for (const char* file : {kVoteFile, kSnapshotFile, kLogFile}) {
    std::error_code error = folder_.Remove(NameOf(file));
    if (error) return error;
  }
  return {};
}

std::error_code EntryStore::SaveVote(const VoteState& vote) {
  return folder_.WriteAtomically(NameOf(kVoteFile), RecordOf(EncodeVote(vote)));
}

std::error_code EntryStore::SaveSnapshot(const ConsensusSnapshot& snapshot,
                                         const std::vector<LogEntry>& after) {
  // The snapshot comes first: a log that still holds older entries is only
  // longer than needed, a log without its snapshot has a gap.
  std::error_code error = folder_.WriteAtomically(
      NameOf(kSnapshotFile), RecordOf(EncodeSnapshot(snapshot)));
  if (error) return error;
  return ReplaceLog(after);
}

std::error_code EntryStore::ReplaceLog(const std::vector<LogEntry>& entries) {
  std::string log;
  for (const LogEntry& entry : entries) AppendRecord(EncodeEntry(entry), log);
  std::error_code error = folder_.WriteAtomically(NameOf(kLogFile), log);
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
  // Part of the bytes may be in the file; a later record behind them would
  // look like a damaged middle.
  if (log_->Truncate(log_bytes_)) return BaseCode::kSyncFailed;
  return error;
}

std::error_code EntryStore::Sync() { return log_->Sync(); }

std::error_code EntryStore::ReadLog(std::vector<LogEntry>& entries) {
  std::error_code error;
  auto content = folder_.Read(NameOf(kLogFile), error);
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
  if (HoldsLaterRecord(rest)) return ConsensusCode::kLogDamaged;
  auto file = folder_.OpenAppend(NameOf(kLogFile), error);
  if (error) return error;
  error = file->Truncate(log_bytes_);
  return error ? error : file->Sync();
}

bool EntryStore::LacksAFile(const ConsensusRestored& restored) const {
  // The log file is made before the first vote, and a term is stored before
  // the first entry.
  const std::vector<std::string> names = folder_.Names();
  auto holds = [&](const char* file) {
    return std::find(names.begin(), names.end(), NameOf(file)) != names.end();
  };
  const bool holds_state =
      !restored.entries.empty() || restored.snapshot.has_value();
  return (holds(kVoteFile) && !holds(kLogFile)) ||
         (holds_state && !holds(kVoteFile));
}

std::error_code EntryStore::OpenLog() {
  std::error_code error;
  auto log = folder_.OpenAppend(NameOf(kLogFile), error);
  // Without a handle on the new file the old one must not be written.
  if (error) return BaseCode::kSyncFailed;
  log_ = std::move(log);
  return {};
}

}  // namespace hibiscusglade
