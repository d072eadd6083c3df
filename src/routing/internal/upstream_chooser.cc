#include "routing/upstream_chooser.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>
#include <vector>

#include "base/digest.h"
#include "base/random.h"
#include "routing/internal/ejection_judge.h"
#include "routing/internal/refusal_memory.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Owners of one service that one entry connects to.
constexpr size_t kOwnDomainSubset = 8;
constexpr size_t kOtherDomainsSubset = 8;
constexpr Duration kReportLifetime = milliseconds(500);
constexpr Duration kStaleReportInterval = seconds(1);
/// Wait in the own domain that is worth the way to another one and back.
constexpr Duration kSpillWait = milliseconds(10);
/// Links between failure domains are costly: an archive of 90 KB is worth a
/// longer wait in the own domain, up to a part of the usual objectives.
constexpr int64_t kBytesPerWaitedMilli = 1000;
constexpr Duration kLongestSpillWait = milliseconds(100);
constexpr double kSizeSmoothing = 0.05;
/// As if all slots of an owner that refused a moment ago were taken twice.
constexpr double kRefusedPressure = 2;
constexpr Duration kRefusedTime = seconds(1);
/// Slots of an upstream that has not reported yet count as a part.
constexpr double kUnknownShare = 0.25;

struct NamedPolicy {
  std::string_view name;
  ChoicePolicy policy;
};
constexpr std::array<NamedPolicy, 7> kPolicies = {
    {{"round_robin", ChoicePolicy::kRoundRobin},
     {"random", ChoicePolicy::kRandom},
     {"least_loaded", ChoicePolicy::kLeastLoaded},
     {"two_choices", ChoicePolicy::kTwoChoices},
     {"remaining", ChoicePolicy::kRemaining},
     {"remaining_not_twice", ChoicePolicy::kRemainingNotTwice},
     {"shortest_time", ChoicePolicy::kShortestTime}}};

struct UpstreamLoad {
  uint64_t rank = 0;       ///< Decides whether it is in this entry's subset.
  uint32_t in_flight = 0;  ///< Open attempts of this entry.
  uint32_t sent_since_report = 0;
  LoadReport report;
  Instant reported;
  LoadReport stale_report;
  Instant stale_reported;
  RefusalMemory refusals;
};

class Chooser : public UpstreamChooser {
 public:
  explicit Chooser(const ChooserConfig& config)
      : config_(config), random_(config.seed) {}

  std::optional<Choice> Choose(const ChoiceRequest& request,
                               Instant now) override {
    if (config_.ejects) {
      judge_.Compare(request.service, request.candidates,
                     request.max_ejected_percent, now);
    }
    std::vector<size_t> own;
    std::vector<size_t> other;
    if (auto probe = Sort(request, own, other, now)) {
      return Choice{*probe, ChoiceReason::kProbe};
    }
    if (config_.policy == ChoicePolicy::kShortestTime && !own.empty()) {
      return PickByTime(request, own, other, now);
    }
    const bool own_is_better =
        !own.empty() && (other.empty() || !Saturated(request, own, now) ||
                         Saturated(request, other, now));
    if (own_is_better) return Choice{Pick(request, own, now)};
    if (other.empty()) return std::nullopt;
    return Choice{Pick(request, other, now), ChoiceReason::kSpillOver};
  }

  void OnSent(const std::string& instance, Instant) override {
    UpstreamLoad& load = LoadOf(instance);
    ++load.in_flight;
    ++load.sent_since_report;
    last_chosen_ = instance;
  }

  void OnEnded(const std::string& instance, AttemptOutcome outcome, Duration,
               Instant now) override {
    UpstreamLoad& load = LoadOf(instance);
    if (load.in_flight > 0) --load.in_flight;
    if (load.sent_since_report > 0) --load.sent_since_report;
    judge_.OnOutcome(instance, outcome, now);
  }

  void OnRefused(const std::string& instance, const std::string& request_class,
                 Instant now) override {
    LoadOf(instance).refusals.OnRefused(request_class, now);
  }

  void OnFull(const std::string& instance, const std::string& request_class,
              Instant now) override {
    LoadOf(instance).refusals.OnFull(request_class, now);
  }

  void OnAnswerSize(const std::string& service,
                    const std::string& request_class, uint64_t bytes) override {
    auto [size, is_new] =
        answer_bytes_.try_emplace({service, request_class}, bytes);
    if (is_new) return;
    size->second +=
        kSizeSmoothing * (static_cast<double>(bytes) - size->second);
  }

  void OnTaken(const std::string& instance,
               const std::string& request_class) override {
    LoadOf(instance).refusals.OnTaken(request_class);
  }

  std::optional<Duration> UntilRoom(const ChoiceRequest& request,
                                    Instant now) override {
    std::optional<Duration> soonest;
    for (const UpstreamTarget& target : request.candidates) {
      if (request.tried.contains(target.instance)) continue;
      const Instant again =
          LoadOf(target.instance).refusals.AskAgainAt(request.request_class);
      const Duration wait = std::max(Duration{}, again - now);
      soonest = std::min(soonest.value_or(wait), wait);
    }
    return soonest;
  }

  void OnLoad(const std::string& instance, const std::string& request_class,
              const LoadReport& report, Instant now) override {
    UpstreamLoad& load = LoadOf(instance);
    load.report = report;
    load.reported = now;
    load.sent_since_report = 0;
    if (now >= load.stale_reported + kStaleReportInterval) {
      load.stale_report = report;
      load.stale_reported = now;
    }
    judge_.OnServiceTime(instance, request_class, report.service_time, now);
  }

  ChooserCounts Counts() const override { return judge_.Counts(); }

 private:
  /// Divides the candidates that may be chosen by failure domain.
  /// @return a candidate to probe, if it is time for that.
  std::optional<size_t> Sort(const ChoiceRequest& request,
                             std::vector<size_t>& own,
                             std::vector<size_t>& other, Instant now) {
    std::optional<size_t> probe;
    std::vector<size_t> last_own;
    std::vector<size_t> last_other;
    for (size_t i = 0; i < request.candidates.size(); ++i) {
      const UpstreamTarget& target = request.candidates[i];
      if (request.tried.contains(target.instance)) continue;
      if (PausedAfterRefusals(request, target.instance, now)) continue;
      const bool is_own = target.failure_domain == config_.failure_domain;
      const bool ejected = judge_.Ejected(target.instance);
      if (!ejected && !SaysItLeaves(target.instance, now)) {
        (is_own ? own : other).push_back(i);
        continue;
      }
      (is_own ? last_own : last_other).push_back(i);
      // One attempt of a call is a risk enough.
      if (ejected && is_own && request.tried.empty() && !probe.has_value() &&
          judge_.TakeProbe(target.instance, now)) {
        probe = i;
      }
    }
    if (own.empty() && other.empty()) {
      own = std::move(last_own);
      other = std::move(last_other);
    }
    KeepSubset(request, own, kOwnDomainSubset);
    KeepSubset(request, other, kOtherDomainsSubset);
    return probe;
  }

  bool PausedAfterRefusals(const ChoiceRequest& request,
                           const std::string& instance, Instant now) {
    return LoadOf(instance).refusals.AskAgainAt(request.request_class) > now;
  }

  bool SaysItLeaves(const std::string& instance, Instant now) {
    const UpstreamLoad& load = LoadOf(instance);
    return now < load.reported + kReportLifetime && !load.report.serving;
  }

  /// Rendezvous hashing: each entry keeps the upstreams with its highest
  /// ranks, so that few change when upstreams come and go.
  void KeepSubset(const ChoiceRequest& request, std::vector<size_t>& among,
                  size_t most) {
    if (among.size() <= most) return;
    std::nth_element(among.begin(), among.begin() + static_cast<long>(most),
                     among.end(), [&](size_t a, size_t b) {
                       return LoadOf(request.candidates[a].instance).rank >
                              LoadOf(request.candidates[b].instance).rank;
                     });
    among.resize(most);
    std::sort(among.begin(), among.end());
  }

  bool Saturated(const ChoiceRequest& request, const std::vector<size_t>& among,
                 Instant now) {
    const Duration spill_wait = SpillWait(request);
    // Asking the own domain first costs little beside a large answer's way.
    const bool is_large = spill_wait >= 2 * kSpillWait;
    return std::all_of(among.begin(), among.end(), [&](size_t i) {
      const UpstreamTarget& target = request.candidates[i];
      const UpstreamLoad& load = LoadOf(target.instance);
      const bool refused =
          load.refusals.RefusedLately(request.request_class, now);
      if (refused && !is_large) return true;
      if (now >= load.reported + kReportLifetime) return false;
      const uint32_t slots = std::max<uint32_t>(1, load.report.slots);
      const uint32_t total =
          load.report.running + load.report.queued + load.sent_since_report;
      const uint32_t queued = total > slots ? total - slots : 0;
      return load.report.service_time * queued / slots > spill_wait;
    });
  }

  /// @return wait in the own domain that is worth the way to another one.
  Duration SpillWait(const ChoiceRequest& request) const {
    const auto size =
        answer_bytes_.find({request.service, request.request_class});
    if (size == answer_bytes_.end()) return kSpillWait;
    const auto millis =
        static_cast<int64_t>(size->second) / kBytesPerWaitedMilli;
    return std::min(kLongestSpillWait, kSpillWait + milliseconds(millis));
  }

  size_t Pick(const ChoiceRequest& request, const std::vector<size_t>& among,
              Instant now) {
    switch (config_.policy) {
      case ChoicePolicy::kRoundRobin:
        return among[turn_++ % among.size()];
      case ChoicePolicy::kRandom:
        return among[random_.Below(among.size())];
      case ChoicePolicy::kLeastLoaded:
      case ChoicePolicy::kRemaining:
        return Least(request, among, now);
      case ChoicePolicy::kRemainingNotTwice:
        return Least(request, WithoutLast(request, among), now);
      case ChoicePolicy::kTwoChoices:
      case ChoicePolicy::kShortestTime:
        break;
    }
    return TwoChoices(request, among, now);
  }

  size_t TwoChoices(const ChoiceRequest& request,
                    const std::vector<size_t>& among, Instant now) {
    const size_t first = random_.Below(among.size());
    size_t second = random_.Below(among.size() - 1);
    if (second >= first) ++second;
    if (among.size() == 1) return among.front();
    return Least(request, {among[first], among[second]}, now);
  }

  Choice PickByTime(const ChoiceRequest& request,
                    const std::vector<size_t>& own,
                    const std::vector<size_t>& other, Instant now) {
    Choice choice{TwoChoices(request, own, now)};
    if (other.empty()) return choice;
    const size_t away = TwoChoices(request, other, now);
    const Duration here = TimeTo(request, choice.index, now);
    const Duration there = TimeTo(request, away, now);
    const bool known = judge_.TimeOf(request.candidates[away].instance,
                                     request.request_class, now) > Duration{};
    const bool refused = here >= kRefusedTime;
    if ((known || refused) && there + kSpillWait < here)
      choice = {away, ChoiceReason::kSpillOver};
    return choice;
  }

  /// @return expected time until the answer, without the links.
  Duration TimeTo(const ChoiceRequest& request, size_t index, Instant now) {
    const UpstreamTarget& target = request.candidates[index];
    const UpstreamLoad& load = LoadOf(target.instance);
    const Duration service_time =
        judge_.TimeOf(target.instance, request.request_class, now);
    const double share = judge_.ShareOf(target.instance, now);
    const double slots = std::max(1.0, SlotsOf(target, load) * share);
    const double unfinished = Unfinished(load, now);
    const double rounds = 1 + std::max(0.0, unfinished + 1 - slots) / slots;
    Duration time(static_cast<int64_t>(
        static_cast<double>(service_time.count()) * rounds));
    if (load.refusals.RefusedLately(request.request_class, now)) {
      time += kRefusedTime;
    }
    return time;
  }

  static double SlotsOf(const UpstreamTarget& target,
                        const UpstreamLoad& load) {
    if (load.reported != Instant{}) {
      return std::max<uint32_t>(1, load.report.slots);
    }
    return std::max<uint32_t>(1, target.slots) * kUnknownShare;
  }

  /// @return requests in the owner's hands, as far as this entry knows.
  static double Unfinished(const UpstreamLoad& load, Instant now) {
    if (now >= load.reported + kReportLifetime) return load.in_flight;
    return std::max<double>(
        load.in_flight,
        load.report.running + load.report.queued + load.sent_since_report);
  }

  std::vector<size_t> WithoutLast(const ChoiceRequest& request,
                                  std::vector<size_t> among) const {
    if (among.size() == 1) return among;
    std::erase_if(among, [&](size_t i) {
      return request.candidates[i].instance == last_chosen_;
    });
    return among;
  }

  bool Better(const ChoiceRequest& request, size_t a, size_t b, Instant now) {
    if (config_.policy == ChoicePolicy::kShortestTime) {
      const Duration time_a = TimeTo(request, a, now);
      const Duration time_b = TimeTo(request, b, now);
      if (time_a != time_b) return time_a < time_b;
    }
    return Pressure(request, a, now) < Pressure(request, b, now);
  }

  size_t Least(const ChoiceRequest& request, const std::vector<size_t>& among,
               Instant now) {
    size_t best = among.front();
    for (size_t i : among) {
      if (Better(request, i, best, now)) best = i;
    }
    return best;
  }

  /// @return unfinished requests for each slot, as far as this entry knows.
  double Pressure(const ChoiceRequest& request, size_t index, Instant now) {
    const UpstreamTarget& target = request.candidates[index];
    const UpstreamLoad& load = LoadOf(target.instance);
    if (config_.policy == ChoicePolicy::kLeastLoaded) {
      return static_cast<double>(load.stale_report.running +
                                 load.stale_report.queued) /
             std::max<uint32_t>(1, target.slots);
    }
    const double refused =
        load.refusals.RefusedLately(request.request_class, now)
            ? kRefusedPressure
            : 0;
    return refused +
           (Unfinished(load, now) + 1) /
               (SlotsOf(target, load) * judge_.ShareOf(target.instance, now));
  }

  UpstreamLoad& LoadOf(const std::string& instance) {
    auto [load, is_new] = loads_.try_emplace(instance);
    if (is_new) {
      load->second.rank = DigestOf(instance, DigestOf(config_.instance));
    }
    return load->second;
  }

  ChooserConfig config_;
  Random random_;
  EjectionJudge judge_;
  size_t turn_ = 0;
  std::string last_chosen_;
  std::map<std::string, UpstreamLoad> loads_;
  /// Mean by service and class.
  std::map<std::pair<std::string, std::string>, double> answer_bytes_;
};

}  // namespace

std::optional<ChoicePolicy> ChoicePolicyOf(std::string_view name) {
  for (const NamedPolicy& known : kPolicies) {
    if (known.name == name) return known.policy;
  }
  return std::nullopt;
}

std::unique_ptr<UpstreamChooser> MakeUpstreamChooser(
    const ChooserConfig& config) {
  return std::make_unique<Chooser>(config);
}

}  // namespace hibiscusglade
