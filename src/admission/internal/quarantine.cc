#include "admission/quarantine.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace hibiscusglade {
namespace {

constexpr Duration kSuspicionLifetime = std::chrono::minutes(10);
constexpr uint32_t kBlamesToQuarantine = 2;
constexpr size_t kMaxSuspicionsPerMessage = 1000;

class QuarantineImpl : public Quarantine {
 public:
  QuarantineDecision Decide(Digest fingerprint, Instant now) override {
    auto found = suspects_.find(fingerprint);
    if (found == suspects_.end()) return QuarantineDecision::kRun;
    if (found->second.expires <= now) {
      suspects_.erase(found);
      return QuarantineDecision::kRun;
    }
    return found->second.blames >= kBlamesToQuarantine
               ? QuarantineDecision::kRefuse
               : QuarantineDecision::kRunAlone;
  }

  std::vector<QuarantineNotice> OnUpstreamDeath(
      const std::vector<Digest>& suspects, size_t candidates,
      Instant now) override {
    std::vector<QuarantineNotice> notices;
    for (Digest fingerprint : suspects) {
      Suspect& suspect = suspects_[fingerprint];
      // Of several running requests at most one killed the upstream, and it is
      // not known which: such deaths make suspects, but quarantine none.
      const uint32_t limit = candidates == 1 ? kBlamesToQuarantine : 1;
      suspect.blames =
          std::max(suspect.blames, std::min(suspect.blames + 1, limit));
      suspect.expires = now + kSuspicionLifetime;
      notices.push_back({fingerprint, suspect.blames, kSuspicionLifetime});
    }
    return notices;
  }

  void OnRunSurvived(Digest fingerprint, Instant) override {
    auto found = suspects_.find(fingerprint);
    if (found != suspects_.end() &&
        found->second.blames < kBlamesToQuarantine) {
      suspects_.erase(found);
    }
  }

  std::optional<QuarantineNotice> OnNotice(const QuarantineNotice& notice,
                                           Instant now) override {
    Suspect& suspect = suspects_[notice.fingerprint];
    const bool knows_more =
        suspect.blames > notice.blames && suspect.expires > now;
    suspect.blames = std::max(suspect.blames, notice.blames);
    suspect.expires = std::max(suspect.expires, now + notice.expires_in);
    if (!knows_more) return std::nullopt;
    return QuarantineNotice{notice.fingerprint, suspect.blames,
                            suspect.expires - now};
  }

  std::vector<QuarantineNotice> Suspicions(Instant now) override {
    std::erase_if(suspects_, [now](const auto& entry) {
      return entry.second.expires <= now;
    });
    std::vector<QuarantineNotice> notices;
    for (const auto& [fingerprint, suspect] : suspects_) {
      notices.push_back({fingerprint, suspect.blames, suspect.expires - now});
    }
    std::ranges::sort(notices, [](const auto& a, const auto& b) {
      return std::tie(b.blames, b.expires_in) <
             std::tie(a.blames, a.expires_in);
    });
    notices.resize(std::min(notices.size(), kMaxSuspicionsPerMessage));
    return notices;
  }

 private:
  struct Suspect {
    uint32_t blames = 0;
    Instant expires;
  };

  std::map<Digest, Suspect> suspects_;
};

}  // namespace

std::unique_ptr<Quarantine> MakeQuarantine() {
  return std::make_unique<QuarantineImpl>();
}

}  // namespace hibiscusglade
