#include "admission/quarantine.h"

#include <algorithm>
#include <map>

namespace hibiscusglade {
namespace {

constexpr Duration kSuspicionLifetime = std::chrono::minutes(10);
constexpr uint32_t kCondemnedBlames = 2;

class QuarantineImpl : public Quarantine {
 public:
  QuarantineVerdict Judge(Digest fingerprint, Instant now) override {
    auto found = suspects_.find(fingerprint);
    if (found == suspects_.end()) return QuarantineVerdict::kClear;
    if (found->second.expires <= now) {
      suspects_.erase(found);
      return QuarantineVerdict::kClear;
    }
    return found->second.blames >= kCondemnedBlames
               ? QuarantineVerdict::kRefused
               : QuarantineVerdict::kAlone;
  }

  std::vector<QuarantineNews> OnUpstreamDeath(
      const std::vector<Digest>& running, Instant now) override {
    std::vector<QuarantineNews> news;
    for (Digest fingerprint : running) {
      Suspect& suspect = suspects_[fingerprint];
      // Of several requests at most one did it, so none is condemned yet.
      const uint32_t most = running.size() == 1 ? kCondemnedBlames : 1;
      suspect.blames =
          std::max(suspect.blames, std::min(suspect.blames + 1, most));
      suspect.expires = now + kSuspicionLifetime;
      news.push_back({fingerprint, suspect.blames, kSuspicionLifetime});
    }
    return news;
  }

  void OnSurvived(Digest fingerprint, Instant) override {
    auto found = suspects_.find(fingerprint);
    if (found != suspects_.end() && found->second.blames < kCondemnedBlames) {
      suspects_.erase(found);
    }
  }

  void OnNews(const QuarantineNews& news, Instant now) override {
    Suspect& suspect = suspects_[news.fingerprint];
    suspect.blames = std::max(suspect.blames, news.blames);
    suspect.expires = std::max(suspect.expires, now + news.expires_in);
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
