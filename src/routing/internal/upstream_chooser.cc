#include "routing/upstream_chooser.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "base/digest.h"
#include "base/random.h"
#include "routing/flow_router.h"
#include "routing/internal/outlier_detector.h"
#include "routing/internal/upstream_load.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Sizes of an entry's subset of the owners of one service, which limit its
/// connections.
constexpr size_t kOwnDomainSubset = 8;
constexpr size_t kOtherDomainsSubset = 8;
constexpr Duration kReportSampleInterval = seconds(1);
/// Expected wait in the own domain above which the round trip to another domain
/// pays off.
constexpr Duration kMinSpillOverWait = milliseconds(10);
/// Links between failure domains are costly, so a large body (an archive of
/// 90 KB, in a request or an answer) justifies a longer wait in the own domain.
/// The limit is a fraction of common latency objectives.
constexpr int64_t kBytesPerExtraWaitMs = 1000;
constexpr Duration kMaxSpillOverWait = milliseconds(100);
constexpr double kSizeSmoothing = 0.05;
/// Added to the load per slot of an owner that refused recently: counts as two
/// more requests for each of its slots.
constexpr double kRefusedLoadPenalty = 2;
/// Added to the expected time of an owner that refused recently.
constexpr Duration kRefusedTimePenalty = seconds(1);
/// Share of its slots above which an upstream is near the end of its room.
constexpr double kPressedFill = 0.6;

class Chooser : public UpstreamChooser {
 public:
  explicit Chooser(const ChooserConfig& config)
      : config_(config), random_(config.seed) {}

  std::optional<Choice> Choose(const ChoiceRequest& request,
                               Instant now) override {
    if (config_.ejection_enabled) {
      outlier_detector_.Compare(request.service, request.candidates,
                                request.max_ejected_percent, now);
    }
    if (config_.flows != nullptr && request.tried.empty()) {
      config_.flows->OnCall(request.service, request.body_bytes);
    }
    std::vector<size_t> own;
    std::vector<size_t> other;
    if (auto probe = PartitionByDomain(request, own, other, now)) {
      return Choice{*probe, ChoiceReason::kProbe};
    }
    if (auto local = FindOwnInstance(request, own, now)) {
      return Choice{*local, ChoiceReason::kOwnInstance};
    }
    if (config_.flows != nullptr) {
      NotePressure(request, own, now);
      if (const auto* plan = config_.flows->PlanOf(request.service, now)) {
        return ChooseByPlan(request, *plan, own, other, now);
      }
    }
    LimitToSubset(request, other, kOtherDomainsSubset);
    if (config_.policy == ChoicePolicy::kShortestTime && !own.empty()) {
      return PickByExpectedTime(request, own, other, now);
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
    outlier_detector_.OnOutcome(instance, outcome, now);
  }

  void OnRefused(const std::string& instance, const std::string& request_class,
                 Instant now) override {
    LoadOf(instance).backoff.OnRefused(request_class, now);
  }

  void OnCapacityRefusal(const std::string& instance,
                         const std::string& request_class,
                         Instant now) override {
    LoadOf(instance).backoff.OnCapacityRefusal(request_class, now);
  }

  void OnAnswerSize(const std::string& service,
                    const std::string& request_class, uint64_t bytes) override {
    if (config_.flows != nullptr) config_.flows->OnAnswerSize(service, bytes);
    auto [size, is_new] =
        answer_bytes_.try_emplace({service, request_class}, bytes);
    if (is_new) return;
    size->second +=
        kSizeSmoothing * (static_cast<double>(bytes) - size->second);
  }

  void OnAdmitted(const std::string& instance,
                  const std::string& request_class) override {
    LoadOf(instance).backoff.OnAdmitted(request_class);
  }

  std::optional<Duration> RemainingBackoff(const ChoiceRequest& request,
                                           Instant now) override {
    std::optional<Duration> soonest;
    const bool planned = config_.flows != nullptr &&
                         config_.flows->PlanOf(request.service, now) != nullptr;
    for (const UpstreamTarget& target : request.candidates) {
      if (request.tried.contains(target.instance)) continue;
      const Instant backoff_end =
          LoadOf(target.instance).backoff.BackoffEnd(request.request_class);
      const Duration wait = std::max(Duration{}, backoff_end - now);
      // A plan keeps the call from others that might be chosen.
      const bool is_kept_out =
          planned && (target.failure_domain != config_.failure_domain ||
                      wait == Duration{});
      if (is_kept_out) continue;
      soonest = std::min(soonest.value_or(wait), wait);
    }
    return soonest;
  }

  void OnLoad(const std::string& instance, const std::string& request_class,
              const LoadReport& report, Instant now) override {
    UpstreamLoad& load = LoadOf(instance);
    load.report = report;
    load.reported_at = now;
    load.sent_since_report = 0;
    if (now >= load.sampled_at + kReportSampleInterval) {
      load.sampled_report = report;
      load.sampled_at = now;
    }
    outlier_detector_.OnServiceTime(instance, request_class,
                                    report.service_time, report.service_samples,
                                    now);
  }

  EjectionCounts Counts() const override { return outlier_detector_.Counts(); }

 private:
  /// Partitions the candidates that may be chosen by failure domain. Ejected
  /// upstreams and those that report that they are not serving are included
  /// only when there are no others.
  /// @return an ejected candidate to probe, if a probe is due.
  std::optional<size_t> PartitionByDomain(const ChoiceRequest& request,
                                          std::vector<size_t>& own,
                                          std::vector<size_t>& other,
                                          Instant now) {
    std::optional<size_t> probe;
    std::vector<size_t> fallback_own;
    std::vector<size_t> fallback_other;
    for (size_t i = 0; i < request.candidates.size(); ++i) {
      const UpstreamTarget& target = request.candidates[i];
      if (request.tried.contains(target.instance)) continue;
      if (InBackoff(request, target.instance, now)) continue;
      const bool is_own = target.failure_domain == config_.failure_domain;
      const bool ejected = outlier_detector_.Ejected(target.instance);
      if (!ejected && !ReportsNotServing(target.instance, now)) {
        (is_own ? own : other).push_back(i);
        continue;
      }
      (is_own ? fallback_own : fallback_other).push_back(i);
      // A probe may fail, so only the first attempt of a call may be one.
      if (ejected && is_own && request.tried.empty() && !probe.has_value() &&
          outlier_detector_.TryStartProbe(target.instance, now)) {
        probe = i;
      }
    }
    if (own.empty() && other.empty()) {
      own = std::move(fallback_own);
      other = std::move(fallback_other);
    }
    LimitToSubset(request, own, kOwnDomainSubset);
    return probe;
  }

  /// The planned share of the calls goes to other failure domains, the rest
  /// stays at home. What home can't take at the moment, in bursts shorter than
  /// a round of planning, leaves only for planned room.
  std::optional<Choice> ChooseByPlan(const ChoiceRequest& request,
                                     const FlowPlan& plan,
                                     const std::vector<size_t>& own,
                                     const std::vector<size_t>& other,
                                     Instant now) {
    const std::string planned =
        request.tried.empty() ? config_.flows->NextDomain(request.service, now)
                              : std::string();
    std::vector<size_t> among;
    for (size_t i : other) {
      if (request.candidates[i].failure_domain == planned) among.push_back(i);
    }
    const bool home_is_full = own.empty() || Saturated(request, own, now);
    if (among.empty() && home_is_full) {
      for (size_t i : other) {
        const auto flow = plan.flows.find(request.candidates[i].failure_domain);
        const bool has_room = flow != plan.flows.end() && flow->second.has_room;
        if (has_room) among.push_back(i);
      }
    }
    if (!among.empty()) {
      LimitToSubset(request, among, kOtherDomainsSubset);
      return Choice{Pick(request, among, now), ChoiceReason::kPlanned};
    }
    if (!own.empty()) return Choice{Pick(request, own, now)};
    // Home refused and may take it later; otherwise there is no home to speak
    // of.
    const bool home_may_answer = std::ranges::any_of(
        request.candidates, [&](const UpstreamTarget& target) {
          return target.failure_domain == config_.failure_domain &&
                 (request.tried.contains(target.instance) ||
                  InBackoff(request, target.instance, now));
        });
    if (home_may_answer || other.empty()) return std::nullopt;
    return Choice{Pick(request, other, now), ChoiceReason::kSpillOver};
  }

  /// Tells the planners when the own failure domain fills.
  void NotePressure(const ChoiceRequest& request,
                    const std::vector<size_t>& own, Instant now) {
    const bool pressed = std::ranges::all_of(own, [&](size_t i) {
      const UpstreamLoad& load = LoadOf(request.candidates[i].instance);
      if (load.backoff.RefusedRecently(request.request_class, now)) return true;
      if (!load.IsFresh(now)) return false;
      return load.report.running + load.report.queued >
             kPressedFill * load.report.slots;
    });
    if (pressed) config_.flows->OnPressure(request.service, now);
  }

  bool InBackoff(const ChoiceRequest& request, const std::string& instance,
                 Instant now) {
    return LoadOf(instance).backoff.BackoffEnd(request.request_class) > now;
  }

  bool ReportsNotServing(const std::string& instance, Instant now) {
    const UpstreamLoad& load = LoadOf(instance);
    return load.IsFresh(now) && !load.report.serving;
  }

  /// Limits the candidates to this entry's subset by rendezvous hashing: only
  /// the highest ranks stay, so that the subset changes little when upstreams
  /// are added or removed.
  void LimitToSubset(const ChoiceRequest& request, std::vector<size_t>& among,
                     size_t max_size) {
    if (among.size() <= max_size) return;
    std::nth_element(among.begin(), among.begin() + static_cast<long>(max_size),
                     among.end(), [&](size_t a, size_t b) {
                       return LoadOf(request.candidates[a].instance).rank >
                              LoadOf(request.candidates[b].instance).rank;
                     });
    among.resize(max_size);
    std::sort(among.begin(), among.end());
  }

  /// A large body from or to this instance's own upstream crosses no link, so
  /// that it
  /// leaves the link to answers for other instances.
  /// @return the own upstream among the candidates if it has room for a request
  /// with a large body.
  std::optional<size_t> FindOwnInstance(const ChoiceRequest& request,
                                        const std::vector<size_t>& own,
                                        Instant now) {
    if (!HasLargeBody(request)) return std::nullopt;
    for (size_t i : own) {
      const std::string& instance = request.candidates[i].instance;
      if (instance != config_.instance) continue;
      const bool refused =
          LoadOf(instance).backoff.RefusedRecently(request.request_class, now);
      if (refused || Saturated(request, {i}, now)) return std::nullopt;
      return i;
    }
    return std::nullopt;
  }

  bool HasLargeBody(const ChoiceRequest& request) const {
    return SpillOverWait(request) >= 2 * kMinSpillOverWait;
  }

  bool Saturated(const ChoiceRequest& request, const std::vector<size_t>& among,
                 Instant now) {
    const Duration spill_over_wait = SpillOverWait(request);
    // For a large body, an attempt that the own domain may refuse costs
    // little compared with the transfer from another domain.
    const bool is_large = HasLargeBody(request);
    return std::all_of(among.begin(), among.end(), [&](size_t i) {
      const UpstreamTarget& target = request.candidates[i];
      const UpstreamLoad& load = LoadOf(target.instance);
      const bool refused =
          load.backoff.RefusedRecently(request.request_class, now);
      if (refused && !is_large) return true;
      if (!load.IsFresh(now)) return false;
      const uint32_t slots = std::max<uint32_t>(1, load.report.slots);
      const uint32_t total =
          load.report.running + load.report.queued + load.sent_since_report;
      const uint32_t queued = total > slots ? total - slots : 0;
      return load.report.service_time * queued / slots > spill_over_wait;
    });
  }

  /// @return expected wait in the own domain above which requests of this class
  /// spill over to another domain.
  Duration SpillOverWait(const ChoiceRequest& request) const {
    const auto size =
        answer_bytes_.find({request.service, request.request_class});
    const double answer_bytes = size == answer_bytes_.end() ? 0 : size->second;
    const int64_t extra_ms =
        static_cast<int64_t>(answer_bytes +
                             static_cast<double>(request.body_bytes)) /
        kBytesPerExtraWaitMs;
    return std::min(kMaxSpillOverWait,
                    kMinSpillOverWait + milliseconds(extra_ms));
  }

  size_t Pick(const ChoiceRequest& request, const std::vector<size_t>& among,
              Instant now) {
    switch (config_.policy) {
      case ChoicePolicy::kRoundRobin:
        return among[next_in_turn_++ % among.size()];
      case ChoicePolicy::kRandom:
        return among[random_.Below(among.size())];
      case ChoicePolicy::kLeastLoaded:
      case ChoicePolicy::kRemaining:
        return PickBest(request, among, now);
      case ChoicePolicy::kRemainingNotTwice:
        return PickBest(request, WithoutLast(request, among), now);
      case ChoicePolicy::kTwoChoices:
      case ChoicePolicy::kTwoChoicesBySpeed:
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
    return PickBest(request, {among[first], among[second]}, now);
  }

  Choice PickByExpectedTime(const ChoiceRequest& request,
                            const std::vector<size_t>& own,
                            const std::vector<size_t>& other, Instant now) {
    Choice choice{TwoChoices(request, own, now)};
    if (other.empty()) return choice;
    const size_t other_index = TwoChoices(request, other, now);
    const Duration own_time = ExpectedTime(request, choice.index, now);
    const Duration other_time = ExpectedTime(request, other_index, now);
    // An unknown service time counts as zero, which would always win.
    const bool known = outlier_detector_.ServiceTimeOf(
                           request.candidates[other_index].instance,
                           request.request_class, now) > Duration{};
    const bool refused = own_time >= kRefusedTimePenalty;
    if ((known || refused) && other_time + kMinSpillOverWait < own_time)
      choice = {other_index, ChoiceReason::kSpillOver};
    return choice;
  }

  /// @return reported time in the upstream; zero: unknown.
  Duration TimeOf(const ChoiceRequest& request, size_t index,
                  Instant now) const {
    return outlier_detector_.ServiceTimeOf(request.candidates[index].instance,
                                           request.request_class, now);
  }

  /// @return expected time until the answer, without network latency; includes
  /// a penalty for a recent refusal.
  Duration ExpectedTime(const ChoiceRequest& request, size_t index,
                        Instant now) {
    const UpstreamTarget& target = request.candidates[index];
    const UpstreamLoad& load = LoadOf(target.instance);
    const Duration service_time = TimeOf(request, index, now);
    const double share = outlier_detector_.LoadShareOf(target.instance, now);
    const double slots = std::max(1.0, load.SlotsOf(target) * share);
    const double unfinished = load.UnfinishedRequests(now);
    const double rounds = 1 + std::max(0.0, unfinished + 1 - slots) / slots;
    Duration time(static_cast<int64_t>(
        static_cast<double>(service_time.count()) * rounds));
    if (load.backoff.RefusedRecently(request.request_class, now)) {
      time += kRefusedTimePenalty;
    }
    return time;
  }

  std::vector<size_t> WithoutLast(const ChoiceRequest& request,
                                  std::vector<size_t> among) const {
    if (among.size() == 1) return among;
    std::erase_if(among, [&](size_t i) {
      return request.candidates[i].instance == last_chosen_;
    });
    return among;
  }

  bool IsBetter(const ChoiceRequest& request, size_t a, size_t b, Instant now) {
    if (config_.policy == ChoicePolicy::kShortestTime) {
      const Duration time_a = ExpectedTime(request, a, now);
      const Duration time_b = ExpectedTime(request, b, now);
      if (time_a != time_b) return time_a < time_b;
    }
    const double load_a = LoadPerSlot(request, a, now);
    const double load_b = LoadPerSlot(request, b, now);
    if (config_.policy == ChoicePolicy::kTwoChoicesBySpeed) {
      const auto time_a = static_cast<double>(TimeOf(request, a, now).count());
      const auto time_b = static_cast<double>(TimeOf(request, b, now).count());
      if (time_a > 0 && time_b > 0) return load_a * time_a < load_b * time_b;
    }
    return load_a < load_b;
  }

  size_t PickBest(const ChoiceRequest& request,
                  const std::vector<size_t>& among, Instant now) {
    size_t best = among.front();
    for (size_t i : among) {
      if (IsBetter(request, i, best, now)) best = i;
    }
    return best;
  }

  /// @return estimated number of unfinished requests per slot.
  double LoadPerSlot(const ChoiceRequest& request, size_t index, Instant now) {
    const UpstreamTarget& target = request.candidates[index];
    const UpstreamLoad& load = LoadOf(target.instance);
    if (config_.policy == ChoicePolicy::kLeastLoaded) {
      return static_cast<double>(load.sampled_report.running +
                                 load.sampled_report.queued) /
             std::max<uint32_t>(1, target.slots);
    }
    const double refused =
        load.backoff.RefusedRecently(request.request_class, now)
            ? kRefusedLoadPenalty
            : 0;
    return refused + (load.UnfinishedRequests(now) + 1) /
                         (load.SlotsOf(target) *
                          outlier_detector_.LoadShareOf(target.instance, now));
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
  OutlierDetector outlier_detector_;
  size_t next_in_turn_ = 0;
  std::string last_chosen_;
  std::map<std::string, UpstreamLoad> loads_;
  /// Moving average by service and request class.
  std::map<std::pair<std::string, std::string>, double> answer_bytes_;
};

}  // namespace

std::unique_ptr<UpstreamChooser> MakeUpstreamChooser(
    const ChooserConfig& config) {
  return std::make_unique<Chooser>(config);
}

}  // namespace hibiscusglade
