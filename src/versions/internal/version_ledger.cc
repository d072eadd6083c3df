#include "versions/version_ledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/compression.h"
#include "versions/config_reader.h"
#include "versions/internal/leave_table.h"
#include "versions/internal/rollout_table.h"
#include "versions/versions_result_codes.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {
namespace {

constexpr size_t kMaxVersions = 2000;
constexpr size_t kVersionsPerCheckpoint = 100;
/// Patches and texts of all kept versions. A document of 350 routes has 60 KB,
/// so without this limit many changes to it would fill a replica's memory.
constexpr size_t kMaxVersionBytes = size_t{1} << 20U;
/// Size of the patches after which a checkpoint is set. When the kept versions
/// exceed kMaxVersionBytes, all before the next checkpoint are dropped, so this
/// limits how much is dropped together.
constexpr size_t kBytesPerCheckpoint = size_t{256} << 10U;
constexpr size_t kMaxVerdicts = 10000;
constexpr size_t kMaxVerdictBytes = 4U << 20U;
constexpr size_t kMaxPatchIdBytes = 128;
constexpr size_t kMaxPatchBytes = 256U << 10U;
constexpr size_t kMaxDocumentBytes = 4U << 20U;

int NumberOf(VersionsCode code) { return static_cast<int>(code); }

Digest DigestOfPatch(const wire::PatchCommand& command) {
  const std::string versions = std::to_string(command.base()) + "/" +
                               std::to_string(command.restore_content_of());
  if (command.document().empty()) {
    return DigestOf(command.patch(), DigestOf(versions));
  }
  // Decompressed, as compressed bytes may differ between releases of the
  // compression library.
  const std::string source =
      Decompress(command.source(), kMaxDocumentBytes).value_or("");
  const std::string number = std::to_string(command.number());
  return DigestOf(source, DigestOf(number, DigestOf(versions)));
}

std::string TooLong(const char* what, size_t bytes, size_t limit) {
  return std::string(what) + " has " + std::to_string(bytes) +
         " bytes of at most " + std::to_string(limit);
}

}  // namespace

struct VersionLedger::RecordedVerdict {
  Digest patch_digest = 0;
  wire::PatchVerdict verdict;
};

VersionLedger::VersionLedger(Listener listener)
    : listener_(std::move(listener)),
      latest_(EmptyConfigVersion()),
      leaves_(std::make_unique<LeaveTable>()),
      rollouts_(std::make_unique<RolloutTable>()) {
  versions_.push_back(
      {0, 0, latest_->digest, "[]", latest_->text, "", "", 0, ""});
}

VersionLedger::~VersionLedger() = default;

std::string VersionLedger::Apply(std::string_view bytes) {
  wire::PatchCommand command;
  wire::PatchVerdict verdict;
  if (!command.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    verdict.set_code(NumberOf(VersionsCode::kDamagedCommand));
    return verdict.SerializeAsString();
  }
  if (command.has_leave()) {
    return ApplyLeave(command.leave()).SerializeAsString();
  }
  if (command.has_rollout()) {
    wire::PatchVerdict judged = rollouts_->Apply(command);
    judged.set_latest(Latest()->number);
    return judged.SerializeAsString();
  }
  if (command.patch_id().empty()) {
    verdict.set_code(NumberOf(VersionsCode::kMissingPatchId));
    return verdict.SerializeAsString();
  }
  if (command.patch_id().size() > kMaxPatchIdBytes) {
    verdict.set_code(NumberOf(VersionsCode::kInvalidPatch));
    verdict.set_latest(Latest()->number);
    verdict.add_faults()->set_message(
        TooLong("the patch id", command.patch_id().size(), kMaxPatchIdBytes));
    return verdict.SerializeAsString();
  }
  auto known = verdicts_.find(command.patch_id());
  if (known == verdicts_.end()) {
    RecordedVerdict recorded = ApplyProposal(command);
    verdict = recorded.verdict;
    // A refused document may be valid when it is resent after another version,
    // so only the verdict on an accepted document is recorded.
    if (verdict.code() == 0 || command.document().empty()) {
      RecordVerdict(command.patch_id(), std::move(recorded));
    }
    return verdict.SerializeAsString();
  }
  if (known->second.patch_digest == DigestOfPatch(command)) {
    return known->second.verdict.SerializeAsString();
  }
  verdict.set_code(NumberOf(VersionsCode::kPatchIdReused));
  verdict.set_latest(Latest()->number);
  return verdict.SerializeAsString();
}

wire::PatchVerdict VersionLedger::ApplyLeave(const wire::UpstreamLeave& leave) {
  wire::PatchVerdict verdict;
  verdict.set_latest(Latest()->number);
  if (leave.instance().empty() || leave.upstream().empty()) {
    verdict.set_code(NumberOf(VersionsCode::kDamagedCommand));
    return verdict;
  }
  leaves_->Record(leave);
  return verdict;
}

const RolloutsAt& VersionLedger::Rollouts() const {
  return rollouts_->Current();
}

VersionLedger::RecordedVerdict VersionLedger::ApplyProposal(
    const wire::PatchCommand& command) {
  RecordedVerdict recorded;
  recorded.patch_digest = DigestOfPatch(command);
  wire::PatchVerdict& verdict = recorded.verdict;
  const uint64_t latest = Latest()->number;
  verdict.set_latest(latest);
  if (command.base() != latest) {
    verdict.set_code(NumberOf(VersionsCode::kConflict));
    return recorded;
  }
  std::vector<SettingsFault> faults;
  int code = 0;
  ConfigVersionPtr next = command.document().empty()
                              ? BuildFromPatch(command, faults, code)
                              : BuildFromDocument(command, faults, code);
  if (next == nullptr) {
    verdict.set_code(code);
    for (const SettingsFault& fault : faults) {
      wire::PatchFault* out = verdict.add_faults();
      out->set_pointer(fault.pointer);
      out->set_message(fault.message);
    }
    return recorded;
  }
  verdict.set_number(next->number);
  verdict.set_digest(next->digest);
  verdict.set_latest(next->number);
  Append(command, next);
  listener_(next);
  return recorded;
}

void VersionLedger::Append(const wire::PatchCommand& command,
                           ConfigVersionPtr version) {
  latest_ = std::move(version);
  const bool is_checkpoint = latest_->patch.empty() || CheckpointDue();
  versions_.back().source.clear();
  versions_.push_back({latest_->number, latest_->parent, latest_->digest,
                       latest_->patch, is_checkpoint ? latest_->text : "",
                       command.patch_id(), command.author(),
                       command.proposed_at(), command.source()});
  if (versions_.size() > kMaxVersions) DropOldest();
  if (BytesFrom(0) > kMaxVersionBytes) DropToNextCheckpoint();
}

/// Counts from the last checkpoint, so that replicas restored from a snapshot
/// set the same checkpoints as the others.
bool VersionLedger::CheckpointDue() const {
  const auto last_checkpoint = std::find_if(
      versions_.rbegin(), versions_.rend(),
      [](const KeptVersion& version) { return !version.whole.empty(); });
  const auto since =
      static_cast<size_t>(last_checkpoint - versions_.rbegin()) + 1;
  return since >= kVersionsPerCheckpoint ||
         BytesFrom(versions_.size() - since + 1) + latest_->patch.size() >=
             kBytesPerCheckpoint;
}

size_t VersionLedger::BytesFrom(size_t first) const {
  size_t bytes = 0;
  for (size_t i = first; i < versions_.size(); ++i) {
    bytes += versions_[i].patch.size() + versions_[i].whole.size();
  }
  return bytes;
}

void VersionLedger::DropOldest() {
  versions_[1].whole = TextOf(versions_[1]);
  versions_.pop_front();
}

void VersionLedger::DropToNextCheckpoint() {
  do {
    versions_.pop_front();
  } while (versions_.front().whole.empty() && versions_.size() > 1);
  if (versions_.front().whole.empty()) versions_.front().whole = latest_->text;
}

std::string VersionLedger::TextOf(const KeptVersion& version) const {
  if (version.number == latest_->number) return latest_->text;
  const auto wanted = std::find_if(
      versions_.begin(), versions_.end(),
      [&](const KeptVersion& kept) { return kept.number == version.number; });
  auto base = wanted;
  while (base->whole.empty()) --base;
  if (base == wanted) return base->whole;
  auto document = nlohmann::json::parse(base->whole);
  for (auto next = base + 1; next <= wanted; ++next) {
    document.patch_inplace(nlohmann::json::parse(next->patch));
  }
  return document.dump();
}

ConfigVersionPtr VersionLedger::BuildFromPatch(
    const wire::PatchCommand& command, std::vector<SettingsFault>& faults,
    int& code) {
  std::string patch = command.patch();
  code = NumberOf(VersionsCode::kInvalidPatch);
  if (patch.size() > kMaxPatchBytes) {
    faults.push_back({"", TooLong("the patch", patch.size(), kMaxPatchBytes)});
    return nullptr;
  }
  if (command.restore_content_of() != 0) {
    const KeptVersion* older = Find(command.restore_content_of());
    if (older == nullptr) {
      code = NumberOf(VersionsCode::kNoSuchVersion);
      return nullptr;
    }
    patch = nlohmann::json::diff(nlohmann::json::parse(Latest()->text),
                                 nlohmann::json::parse(TextOf(*older)))
                .dump();
  }
  DocumentEditor editor = TakeEditor();
  if (!editor.Apply(patch, faults)) return nullptr;
  code = NumberOf(VersionsCode::kInvalidDocument);
  const size_t bytes = editor.Text().size();
  if (bytes > kMaxDocumentBytes) {
    faults.push_back({"", TooLong("the document", bytes, kMaxDocumentBytes)});
    return nullptr;
  }
  const uint64_t latest = Latest()->number;
  ConfigVersionPtr version = editor.Build(latest + 1, latest, patch, faults);
  if (version != nullptr) editor_ = std::move(editor);
  return version;
}

/// @return an editor of the latest version. To be kept in `editor_` only when
/// it has built the next one: an editor whose patch did not apply, or gave an
/// invalid document, must not be used again.
DocumentEditor VersionLedger::TakeEditor() {
  std::optional<DocumentEditor> kept = std::exchange(editor_, std::nullopt);
  if (kept.has_value() && kept->Base() == latest_) return *std::move(kept);
  return DocumentEditor(latest_);
}

ConfigVersionPtr VersionLedger::BuildFromDocument(
    const wire::PatchCommand& command, std::vector<SettingsFault>& faults,
    int& code) {
  const ConfigVersion& latest = *Latest();
  code = NumberOf(VersionsCode::kInvalidDocument);
  if (command.number() <= latest.number) {
    faults.push_back({"", "the number " + std::to_string(command.number()) +
                              " is not above the latest, " +
                              std::to_string(latest.number)});
    return nullptr;
  }
  const auto document = Decompress(command.document(), kMaxDocumentBytes);
  if (!document.has_value() ||
      !Decompress(command.source(), kMaxDocumentBytes).has_value()) {
    faults.push_back({"", "the document is damaged or longer than " +
                              std::to_string(kMaxDocumentBytes) + " bytes"});
    return nullptr;
  }
  // Not parsed strictly: the proposer has done that and serialized the result.
  nlohmann::json value = nlohmann::json::parse(*document, nullptr, false);
  if (value.is_discarded()) {
    faults.push_back({"", "the document is no JSON"});
    return nullptr;
  }
  std::string text = value.dump();
  if (latest_value_ == nullptr || latest_value_digest_ != latest.digest) {
    latest_value_ =
        std::make_unique<nlohmann::json>(nlohmann::json::parse(latest.text));
  }
  std::string patch = nlohmann::json::diff(*latest_value_, value).dump();
  if (patch.size() >= text.size()) patch.clear();
  ConfigVersionPtr version;
  if (patch.empty()) {
    version = MakeConfigVersion(command.number(), latest.number,
                                std::move(text), value, "", faults);
  } else {
    DocumentEditor editor = TakeEditor();
    if (!editor.Apply(patch, faults)) return nullptr;
    version = editor.Build(command.number(), latest.number, patch, faults);
    if (version != nullptr) editor_ = std::move(editor);
  }
  if (version == nullptr) return nullptr;
  *latest_value_ = std::move(value);
  latest_value_digest_ = version->digest;
  return version;
}

std::string VersionLedger::Read(std::string_view bytes) const {
  wire::VersionQuery query;
  wire::VersionQueryAnswer answer;
  if (!query.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return answer.SerializeAsString();
  }
  auto add = [this, &answer](const KeptVersion& version, bool with_text) {
    wire::StoredVersion* out = answer.add_versions();
    out->set_number(version.number);
    out->set_parent(version.parent);
    out->set_digest(version.digest);
    out->set_patch(version.patch);
    out->set_patch_id(version.patch_id);
    out->set_author(version.author);
    out->set_accepted_at(version.accepted_at);
    if (with_text) out->set_whole(TextOf(version));
    if (with_text) out->set_source(version.source);
    answer.set_found(true);
  };
  if (!query.leaves_of().empty()) {
    for (wire::UpstreamLeave& leave : leaves_->Of(query.leaves_of())) {
      *answer.add_leaves() = std::move(leave);
    }
  }
  switch (query.kind()) {
    case wire::VersionQuery::LATEST:
      add(versions_.back(), true);
      break;
    case wire::VersionQuery::NUMBER:
      if (const KeptVersion* kept = Find(query.number())) add(*kept, true);
      break;
    case wire::VersionQuery::HISTORY: {
      uint32_t left = query.most();
      for (auto version = versions_.rbegin(); version != versions_.rend();
           ++version) {
        if (left-- == 0) break;
        add(*version, false);
      }
      break;
    }
    case wire::VersionQuery::LATEST_NUMBER:
      answer.set_found(true);
      answer.add_versions()->set_number(latest_->number);
      rollouts_->AddTo(answer, query.rollout_revision());
      break;
    case wire::VersionQuery::ROLLOUTS:
      answer.set_found(true);
      rollouts_->AddTo(answer, 0);
      break;
    case wire::VersionQuery::VERDICT: {
      auto known = verdicts_.find(query.patch_id());
      if (known == verdicts_.end()) break;
      answer.set_found(true);
      *answer.mutable_verdict() = known->second.verdict;
      break;
    }
    default:
      break;
  }
  return answer.SerializeAsString();
}

std::string VersionLedger::Snapshot() const {
  wire::VersionsSnapshot snapshot;
  for (const KeptVersion& version : versions_) {
    wire::StoredVersion* out = snapshot.add_versions();
    out->set_number(version.number);
    out->set_parent(version.parent);
    out->set_digest(version.digest);
    out->set_patch(version.patch);
    out->set_whole(version.whole);
    out->set_patch_id(version.patch_id);
    out->set_author(version.author);
    out->set_accepted_at(version.accepted_at);
    out->set_source(version.source);
  }
  for (const std::string& patch_id : verdict_order_) {
    const RecordedVerdict& recorded = verdicts_.at(patch_id);
    wire::StoredVerdict* out = snapshot.add_verdicts();
    out->set_patch_id(patch_id);
    out->set_patch_digest(recorded.patch_digest);
    *out->mutable_verdict() = recorded.verdict;
  }
  for (wire::UpstreamLeave& leave : leaves_->All()) {
    *snapshot.add_leaves() = std::move(leave);
  }
  if (rollouts_->Current().revision != 0) {
    ToWire(rollouts_->Current(), *snapshot.mutable_rollouts());
  }
  return snapshot.SerializeAsString();
}

bool VersionLedger::Restore(std::string_view bytes) {
  wire::VersionsSnapshot snapshot;
  if (!snapshot.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  if (!RestoreVersions(snapshot)) return false;
  verdicts_.clear();
  verdict_order_.clear();
  verdict_bytes_ = 0;
  for (const wire::StoredVerdict& in : snapshot.verdicts()) {
    RecordVerdict(in.patch_id(), {in.patch_digest(), in.verdict()});
  }
  *leaves_ = LeaveTable();
  for (const wire::UpstreamLeave& leave : snapshot.leaves()) {
    leaves_->Record(leave);
  }
  rollouts_->Restore(FromWire(snapshot.rollouts()));
  listener_(Latest());
  return true;
}

bool VersionLedger::RestoreVersions(const wire::VersionsSnapshot& snapshot) {
  std::deque<KeptVersion> versions;
  for (const wire::StoredVersion& in : snapshot.versions()) {
    if (!versions.empty() && (in.number() <= versions.back().number ||
                              in.parent() != versions.back().number)) {
      return false;
    }
    versions.push_back({in.number(), in.parent(), in.digest(), in.patch(),
                        in.whole(), in.patch_id(), in.author(),
                        in.accepted_at(), in.source()});
  }
  if (versions.empty() || versions.front().whole.empty()) return false;
  versions_.swap(versions);
  const KeptVersion& last = versions_.back();
  std::vector<SettingsFault> faults;
  ConfigVersionPtr latest;
  const ConfigVersionPtr before = std::exchange(latest_, EmptyConfigVersion());
  try {
    latest = MakeConfigVersion(last.number, last.parent,
                               last.number == 0 ? last.whole : TextOf(last),
                               last.patch, faults);
  } catch (const nlohmann::json::exception&) {
    latest = nullptr;
  }
  if (latest == nullptr || latest->digest != last.digest) {
    versions_.swap(versions);
    latest_ = before;
    return false;
  }
  latest_ = std::move(latest);
  return true;
}

const VersionLedger::KeptVersion* VersionLedger::Find(uint64_t number) const {
  const auto found =
      std::lower_bound(versions_.begin(), versions_.end(), number,
                       [](const KeptVersion& version, uint64_t wanted) {
                         return version.number < wanted;
                       });
  if (found == versions_.end() || found->number != number) return nullptr;
  return &*found;
}

void VersionLedger::RecordVerdict(const std::string& patch_id,
                                  RecordedVerdict recorded) {
  verdict_bytes_ += patch_id.size() + recorded.verdict.ByteSizeLong();
  verdicts_[patch_id] = std::move(recorded);
  verdict_order_.push_back(patch_id);
  while (verdict_order_.size() > kMaxVerdicts ||
         (verdict_bytes_ > kMaxVerdictBytes && verdict_order_.size() > 1)) {
    auto oldest = verdicts_.find(verdict_order_.front());
    verdict_bytes_ -=
        oldest->first.size() + oldest->second.verdict.ByteSizeLong();
    verdicts_.erase(oldest);
    verdict_order_.pop_front();
  }
}

}  // namespace hibiscusglade
