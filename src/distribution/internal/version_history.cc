#include "distribution/internal/version_history.h"

#include <algorithm>
#include <utility>

#include "base/strict_json.h"
#include "versions/config_reader.h"

namespace hibiscusglade {
namespace {

constexpr size_t kMaxSteps = 600;
/// A peer that needs more patches is sent the whole document, which is usually
/// shorter.
constexpr size_t kMaxStepBytes = size_t{512} << 10U;

}  // namespace

VersionHistory::VersionHistory() : latest_(EmptyConfigVersion()) {}

bool VersionHistory::Add(const ConfigVersionPtr& version) {
  if (version->number <= latest_->number) return false;
  if (version->parent == latest_->number && !version->patch.empty()) {
    steps_.push_back(
        {latest_->number, latest_->digest, {version->number, version->patch}});
    DropOldestSteps();
  } else {
    steps_.clear();
  }
  latest_ = version;
  return true;
}

ConfigVersionPtr VersionHistory::ApplyAnswer(const VersionPullAnswer& answer) {
  if (answer.number <= latest_->number) return nullptr;
  ConfigVersionPtr version =
      answer.whole.empty() ? ApplySteps(answer) : ApplyWhole(answer);
  if (version == nullptr) return nullptr;
  DropOldestSteps();
  latest_ = version;
  return version;
}

ConfigVersionPtr VersionHistory::ApplyWhole(const VersionPullAnswer& answer) {
  if (DigestOf(answer.whole) != answer.digest) return nullptr;
  const StrictJsonResult parsed = ParseStrictJson(answer.whole);
  if (!parsed.fault.empty()) return nullptr;
  std::vector<SettingsFault> faults;
  ConfigVersionPtr version = MakeConfigVersion(answer.number, 0, answer.whole,
                                               parsed.value, "", faults);
  if (version == nullptr) return nullptr;
  steps_.clear();
  editor_.emplace(version, parsed.value);
  return version;
}

ConfigVersionPtr VersionHistory::ApplySteps(const VersionPullAnswer& answer) {
  if (answer.base_number != latest_->number ||
      answer.base_digest != latest_->digest || answer.steps.empty() ||
      answer.number != answer.steps.back().number) {
    return nullptr;
  }
  // An editor whose patch did not apply must not be used again.
  std::optional<DocumentEditor> editor = std::exchange(editor_, std::nullopt);
  if (!editor.has_value() || editor->Base() != latest_) editor.emplace(latest_);
  std::vector<SettingsFault> faults;
  std::vector<Step> steps;
  uint64_t number = answer.base_number;
  Digest digest = answer.base_digest;
  for (const VersionStep& step : answer.steps) {
    if (step.number <= number) return nullptr;
    if (!steps.empty()) digest = DigestOf(editor->Text());
    steps.push_back({number, digest, step});
    if (!editor->Apply(step.patch, faults)) return nullptr;
    number = step.number;
  }
  ConfigVersionPtr version = editor->Build(
      answer.number, steps.back().base_number, steps.back().next.patch, faults);
  if (version == nullptr || version->digest != answer.digest) return nullptr;
  for (Step& step : steps) steps_.push_back(std::move(step));
  editor_ = std::move(editor);
  return version;
}

void VersionHistory::DropOldestSteps() {
  size_t bytes = 0;
  for (const Step& step : steps_) bytes += step.next.patch.size();
  while (steps_.size() > kMaxSteps ||
         (bytes > kMaxStepBytes && !steps_.empty())) {
    bytes -= steps_.front().next.patch.size();
    steps_.pop_front();
  }
}

VersionPullAnswer VersionHistory::AnswerTo(const VersionPull& pull) const {
  VersionPullAnswer answer;
  answer.number = latest_->number;
  answer.digest = latest_->digest;
  answer.compress_steps = pull.reads_compressed_steps;
  auto first =
      std::find_if(steps_.begin(), steps_.end(), [&pull](const Step& step) {
        return step.base_number == pull.have_number;
      });
  size_t bytes = 0;
  if (first != steps_.end() && first->base_digest == pull.have_digest) {
    answer.base_number = pull.have_number;
    answer.base_digest = pull.have_digest;
    for (auto step = first; step != steps_.end(); ++step) {
      bytes += step->next.patch.size();
      answer.steps.push_back(step->next);
    }
    if (bytes <= latest_->text.size()) return answer;
    answer.steps.clear();
    answer.base_number = 0;
    answer.base_digest = 0;
  }
  answer.whole = latest_->text;
  return answer;
}

}  // namespace hibiscusglade
