#include "consensus/internal/entry_store.h"

#include <utility>

#include "consensus/consensus_result_codes.h"
#include "consensus/internal/record_format.h"
#include "platform/platform_result_codes.h"

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
  error = PlatformCode::kFileDamaged;
  return std::nullopt;
}

}  // namespace

EntryStore::EntryStore(DataFolder& folder, std::string prefix)
    : folder_(folder), prefix_(std::move(prefix)) {}

std::error_code EntryStore::Load(ConsensusRestored& restored) {
  std::error_code error;
  if (auto vote = ReadRecordFile(folder_, NameOf(kVoteFile), error)) {
    restored.vote = DecodeVote(*vote).value_or(VoteState{});
  }
  if (error) return error;
  if (auto bytes = ReadRecordFile(folder_, NameOf(kSnapshotFile), error)) {
    restored.snapshot = DecodeSnapshot(*bytes);
    restored.members = restored.snapshot->members;
  }
  if (error) return error;
  error = ReadLog(restored.entries);
  if (error) return error;
  const LogIndex base =
      restored.snapshot.has_value() ? restored.snapshot->last_index : 0;
  std::erase_if(restored.entries,
                [base](const LogEntry& entry) { return entry.index <= base; });
  if (!restored.entries.empty() && restored.entries[0].index != base + 1) {
    return ConsensusCode::kLogDamaged;
  }
  for (const LogEntry& entry : restored.entries) {
    if (entry.kind == EntryKind::kMembers) {
      restored.members = DecodeMembers(entry.command);
    }
  }
  return OpenLog();
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
  std::string log;
  for (const LogEntry& entry : after) AppendRecord(EncodeEntry(entry), log);
  log_.reset();
  error = folder_.WriteAtomically(NameOf(kLogFile), log);
  if (error) return error;
  log_bytes_ = log.size();
  return OpenLog();
}

std::error_code EntryStore::Append(const std::vector<LogEntry>& entries) {
  std::string bytes;
  for (const LogEntry& entry : entries) AppendRecord(EncodeEntry(entry), bytes);
  log_bytes_ += bytes.size();
  return log_->Append(bytes);
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

std::error_code EntryStore::OpenLog() {
  std::error_code error;
  log_ = folder_.OpenAppend(NameOf(kLogFile), error);
  return error;
}

}  // namespace hibiscusglade
