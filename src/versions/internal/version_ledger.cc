#include "versions/version_ledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "versions/config_reader.h"
#include "versions/versions_result_codes.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {
namespace {

constexpr size_t kKeptVersions = 2000;
constexpr size_t kKeptVerdicts = 10000;

int NumberOf(VersionsCode code) { return static_cast<int>(code); }

Digest DigestOfPatch(const wire::PatchCommand& command) {
  const std::string place = std::to_string(command.base()) + "/" +
                            std::to_string(command.restore_content_of());
  return DigestOf(command.patch(), DigestOf(place));
}

}  // namespace

struct VersionLedger::Verdict {
  Digest patch_digest = 0;
  wire::PatchVerdict verdict;
};

VersionLedger::VersionLedger(Listener listener)
    : listener_(std::move(listener)) {
  versions_.push_back({EmptyConfigVersion(), "", "", 0});
}

VersionLedger::~VersionLedger() = default;

std::string VersionLedger::Apply(std::string_view bytes) {
  wire::PatchCommand command;
  wire::PatchVerdict verdict;
  if (!command.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    verdict.set_code(NumberOf(VersionsCode::kDamagedCommand));
    return verdict.SerializeAsString();
  }
  if (command.patch_id().empty()) {
    verdict.set_code(NumberOf(VersionsCode::kMissingPatchId));
    return verdict.SerializeAsString();
  }
  auto known = verdicts_.find(command.patch_id());
  if (known == verdicts_.end()) {
    Verdict made = Judge(command);
    verdict = made.verdict;
    Remember(command.patch_id(), std::move(made));
    return verdict.SerializeAsString();
  }
  if (known->second.patch_digest == DigestOfPatch(command)) {
    return known->second.verdict.SerializeAsString();
  }
  verdict.set_code(NumberOf(VersionsCode::kPatchIdReused));
  verdict.set_latest(Latest()->number);
  return verdict.SerializeAsString();
}

VersionLedger::Verdict VersionLedger::Judge(const wire::PatchCommand& command) {
  Verdict made;
  made.patch_digest = DigestOfPatch(command);
  wire::PatchVerdict& verdict = made.verdict;
  const uint64_t latest = Latest()->number;
  verdict.set_latest(latest);
  if (command.base() != latest) {
    verdict.set_code(NumberOf(VersionsCode::kConflict));
    return made;
  }
  std::vector<SettingsFault> faults;
  int code = 0;
  ConfigVersionPtr next = BuildNext(command, faults, code);
  if (next == nullptr) {
    verdict.set_code(code);
    for (const SettingsFault& fault : faults) {
      wire::PatchFault* out = verdict.add_faults();
      out->set_pointer(fault.pointer);
      out->set_message(fault.message);
    }
    return made;
  }
  verdict.set_number(next->number);
  verdict.set_digest(next->digest);
  verdict.set_latest(next->number);
  versions_.push_back(
      {next, command.patch_id(), command.author(), command.proposed_at()});
  if (versions_.size() > kKeptVersions) versions_.pop_front();
  listener_(next);
  return made;
}

ConfigVersionPtr VersionLedger::BuildNext(const wire::PatchCommand& command,
                                          std::vector<SettingsFault>& faults,
                                          int& code) const {
  std::string patch = command.patch();
  if (command.restore_content_of() != 0) {
    const Held* older = Find(command.restore_content_of());
    if (older == nullptr) {
      code = NumberOf(VersionsCode::kNoSuchVersion);
      return nullptr;
    }
    patch = nlohmann::json::diff(nlohmann::json::parse(Latest()->text),
                                 nlohmann::json::parse(older->version->text))
                .dump();
  }
  auto text = ApplyPatch(Latest()->text, patch, faults);
  if (!text.has_value()) {
    code = NumberOf(VersionsCode::kInvalidPatch);
    return nullptr;
  }
  const uint64_t latest = Latest()->number;
  code = NumberOf(VersionsCode::kInvalidDocument);
  return MakeConfigVersion(latest + 1, latest, std::move(*text), patch, faults);
}

std::string VersionLedger::Read(std::string_view bytes) const {
  wire::VersionQuery query;
  wire::VersionQueryAnswer answer;
  if (!query.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return answer.SerializeAsString();
  }
  auto add = [&answer](const Held& held, bool with_text) {
    wire::StoredVersion* out = answer.add_versions();
    out->set_number(held.version->number);
    out->set_parent(held.version->parent);
    out->set_digest(held.version->digest);
    out->set_patch(held.version->patch);
    out->set_patch_id(held.patch_id);
    out->set_author(held.author);
    out->set_accepted_at(held.accepted_at);
    if (with_text) out->set_whole(held.version->text);
    answer.set_found(true);
  };
  switch (query.kind()) {
    case wire::VersionQuery::LATEST:
      add(versions_.back(), true);
      break;
    case wire::VersionQuery::NUMBER:
      if (const Held* held = Find(query.number())) add(*held, true);
      break;
    case wire::VersionQuery::HISTORY: {
      uint32_t left = query.most();
      for (auto held = versions_.rbegin(); held != versions_.rend(); ++held) {
        if (left-- == 0) break;
        add(*held, false);
      }
      break;
    }
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
  for (const Held& held : versions_) {
    wire::StoredVersion* out = snapshot.add_versions();
    out->set_number(held.version->number);
    out->set_parent(held.version->parent);
    out->set_patch(held.version->patch);
    out->set_whole(held.version->text);
    out->set_patch_id(held.patch_id);
    out->set_author(held.author);
    out->set_accepted_at(held.accepted_at);
  }
  for (const std::string& patch_id : verdict_order_) {
    const Verdict& verdict = verdicts_.at(patch_id);
    wire::StoredVerdict* out = snapshot.add_verdicts();
    out->set_patch_id(patch_id);
    out->set_patch_digest(verdict.patch_digest);
    *out->mutable_verdict() = verdict.verdict;
  }
  return snapshot.SerializeAsString();
}

bool VersionLedger::Restore(std::string_view bytes) {
  wire::VersionsSnapshot snapshot;
  if (!snapshot.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  std::deque<Held> versions;
  std::vector<SettingsFault> faults;
  for (const wire::StoredVersion& in : snapshot.versions()) {
    ConfigVersionPtr version = MakeConfigVersion(
        in.number(), in.parent(), in.whole(), in.patch(), faults);
    if (version == nullptr) return false;
    versions.push_back(
        {std::move(version), in.patch_id(), in.author(), in.accepted_at()});
  }
  if (versions.empty()) return false;
  versions_ = std::move(versions);
  verdicts_.clear();
  verdict_order_.clear();
  for (const wire::StoredVerdict& in : snapshot.verdicts()) {
    Remember(in.patch_id(), {in.patch_digest(), in.verdict()});
  }
  listener_(Latest());
  return true;
}

const VersionLedger::Held* VersionLedger::Find(uint64_t number) const {
  auto found = std::find_if(
      versions_.begin(), versions_.end(),
      [number](const Held& held) { return held.version->number == number; });
  return found == versions_.end() ? nullptr : &*found;
}

void VersionLedger::Remember(const std::string& patch_id, Verdict verdict) {
  verdicts_[patch_id] = std::move(verdict);
  verdict_order_.push_back(patch_id);
  if (verdict_order_.size() <= kKeptVerdicts) return;
  verdicts_.erase(verdict_order_.front());
  verdict_order_.pop_front();
}

}  // namespace hibiscusglade
