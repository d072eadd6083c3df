#include "routing/upstream_chooser.h"

#include <map>
#include <utility>
#include <vector>

#include "platform/random.h"

namespace hibiscusglade {
namespace {

struct UpstreamLoad {
  uint32_t in_flight = 0;  ///< Open attempts of this entry.
  LoadReport report;
};

class Chooser : public UpstreamChooser {
 public:
  Chooser(ChoicePolicy policy, std::string own_domain, uint64_t seed)
      : policy_(policy), own_domain_(std::move(own_domain)), random_(seed) {}

  std::optional<size_t> Choose(const ChoiceRequest& request, Instant) override {
    std::vector<size_t> allowed = Allowed(request);
    if (allowed.empty()) return std::nullopt;
    switch (policy_) {
      case ChoicePolicy::kRoundRobin:
        return allowed[turn_++ % allowed.size()];
      case ChoicePolicy::kRandom:
        return allowed[random_.Below(allowed.size())];
      case ChoicePolicy::kLeastLoaded:
        return LeastLoaded(request, allowed);
      case ChoicePolicy::kTwoChoices:
        break;
    }
    const size_t first = allowed[random_.Below(allowed.size())];
    const size_t second = allowed[random_.Below(allowed.size())];
    return LeastLoaded(request, {first, second});
  }

  void OnSent(const std::string& instance, Instant) override {
    ++loads_[instance].in_flight;
  }

  void OnEnded(const std::string& instance, AttemptOutcome, Duration,
               Instant) override {
    UpstreamLoad& load = loads_[instance];
    if (load.in_flight > 0) --load.in_flight;
  }

  void OnLoad(const std::string& instance, const LoadReport& load,
              Instant) override {
    loads_[instance].report = load;
  }

 private:
  /// Candidates not tried yet; those of the own failure domain if any.
  std::vector<size_t> Allowed(const ChoiceRequest& request) const {
    std::vector<size_t> own;
    std::vector<size_t> other;
    for (size_t i = 0; i < request.candidates.size(); ++i) {
      const UpstreamTarget& target = request.candidates[i];
      if (request.tried.contains(target.instance)) continue;
      (target.failure_domain == own_domain_ ? own : other).push_back(i);
    }
    return own.empty() ? other : own;
  }

  size_t LeastLoaded(const ChoiceRequest& request,
                     const std::vector<size_t>& among) {
    size_t best = among.front();
    for (size_t i : among) {
      if (LoadOf(request.candidates[i]) < LoadOf(request.candidates[best])) {
        best = i;
      }
    }
    return best;
  }

  double LoadOf(const UpstreamTarget& target) {
    const UpstreamLoad& load = loads_[target.instance];
    const uint32_t slots = target.slots == 0 ? 1 : target.slots;
    return static_cast<double>(load.in_flight + load.report.queued) / slots;
  }

  ChoicePolicy policy_;
  std::string own_domain_;
  Random random_;
  size_t turn_ = 0;
  std::map<std::string, UpstreamLoad> loads_;
};

}  // namespace

std::unique_ptr<UpstreamChooser> MakeUpstreamChooser(ChoicePolicy policy,
                                                     std::string own_domain,
                                                     uint64_t seed) {
  return std::make_unique<Chooser>(policy, std::move(own_domain), seed);
}

}  // namespace hibiscusglade
