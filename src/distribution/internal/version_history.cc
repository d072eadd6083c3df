#include "distribution/internal/version_history.h"

#include <algorithm>
#include <utility>

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
  std::vector<SettingsFault> faults;
  std::string text = answer.whole;
  std::vector<Step> steps;
  if (text.empty()) {
    if (answer.base_number != latest_->number ||
        answer.base_digest != latest_->digest || answer.steps.empty() ||
        answer.number != answer.steps.back().number) {
      return nullptr;
    }
    text = latest_->text;
    uint64_t number = answer.base_number;
    for (const VersionStep& step : answer.steps) {
      if (step.number <= number) return nullptr;
      steps.push_back({number, DigestOf(text), step});
      auto next = ApplyPatch(text, step.patch, faults);
      if (!next.has_value()) return nullptr;
      text = std::move(*next);
      number = step.number;
    }
  }
  if (DigestOf(text) != answer.digest) return nullptr;
  const bool is_whole = steps.empty();
  ConfigVersionPtr version = MakeConfigVersion(
      answer.number, is_whole ? 0 : steps.back().base_number, std::move(text),
      is_whole ? "" : steps.back().next.patch, faults);
  if (version == nullptr) return nullptr;
  if (is_whole) steps_.clear();
  for (Step& step : steps) steps_.push_back(std::move(step));
  DropOldestSteps();
  latest_ = version;
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
