#include "admission/quarantine.h"

#include <algorithm>
#include <map>

namespace hibiscusglade {
namespace {

constexpr Duration kSuspicionLifetime = std::chrono::minutes(10);
constexpr uint32_t kBlamesToQuarantine = 2;

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
      const std::vector<Digest>& running, Instant now) override {
    std::vector<QuarantineNotice> notices;
    for (Digest fingerprint : running) {
      Suspect& suspect = suspects_[fingerprint];
      // Of several running requests at most one killed the upstream, and it is
      // not known which: such deaths make suspects, but quarantine none.
      const uint32_t limit = running.size() == 1 ? kBlamesToQuarantine : 1;
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

  void OnNotice(const QuarantineNotice& notice, Instant now) override {
    Suspect& suspect = suspects_[notice.fingerprint];
    suspect.blames = std::max(suspect.blames, notice.blames);
    suspect.expires = std::max(suspect.expires, now + notice.expires_in);
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
