#include "routing/version_split.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <memory>
#include <vector>

namespace hibiscusglade {
namespace {

constexpr int64_t kAllPermille = 1000;
/// A daemon that hears nothing can't know that the version was rolled back.
constexpr Duration kMaxConfirmationAge = std::chrono::seconds(3);
/// Share of a daemon that can't know, at most: below what a bad version may get
/// in the worst case.
constexpr int64_t kUnconfirmedPermille = 40;

using Filter = std::function<bool(const UpstreamTarget&)>;

UpstreamListPtr Filtered(const UpstreamListPtr& all, const Filter& keeps) {
  std::vector<UpstreamTarget> kept;
  std::ranges::copy_if(*all, std::back_inserter(kept), keeps);
  return std::make_shared<const std::vector<UpstreamTarget>>(std::move(kept));
}

}  // namespace

VersionSplit::Split& VersionSplit::SplitOf(const UpstreamListPtr& all,
                                           const Rollout& rollout) {
  Split& split = splits_[rollout.service];
  if (split.order != rollout.order) {
    split.credit_permille = static_cast<int64_t>(random_.Below(kAllPermille));
  }
  if (split.all == all && split.order == rollout.order &&
      split.step == rollout.step) {
    return split;
  }
  split.all = all;
  split.order = rollout.order;
  split.step = rollout.step;
  const auto is_target = [&](const UpstreamTarget& upstream) {
    return upstream.version == rollout.target_version;
  };
  split.target = Filtered(all, is_target);
  split.others = Filtered(all, std::not_fn(is_target));
  split.open = Filtered(all, [&](const UpstreamTarget& upstream) {
    return !IsClosed(rollout, upstream.version);
  });
  return split;
}

VersionCandidates VersionSplit::Pick(const UpstreamListPtr& all,
                                     const Rollout* rollout,
                                     std::optional<Duration> confirmed_ago,
                                     bool braked) {
  if (rollout == nullptr) return {all, nullptr};
  Split& split = SplitOf(all, *rollout);
  if (rollout->stage != RolloutStage::kRunning || rollout->closes_others) {
    return {split.open, nullptr};
  }
  int64_t share = rollout->share_permille;
  if (!confirmed_ago.has_value() || *confirmed_ago > kMaxConfirmationAge) {
    share = std::min(share, kUnconfirmedPermille);
  }
  if (braked) share = 0;
  split.credit_permille += share;
  if (split.credit_permille < kAllPermille) return {split.others, nullptr};
  split.credit_permille -= kAllPermille;
  if (split.target->empty()) return {split.others, nullptr};
  return {split.target, split.others->empty() ? nullptr : split.others};
}

}  // namespace hibiscusglade
