#include "admission/admission.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "admission/admission_result_codes.h"
#include "admission/internal/service_estimate.h"
#include "admission/internal/slot_order.h"
#include "admission/internal/slot_shares.h"

namespace hibiscusglade {
namespace {

/// Weight of a new sample in the mean service time.
constexpr double kMeanSmoothing = 0.1;
/// Share of its slots that an upstream gets when it starts.
constexpr double kRampStartShare = 0.25;
/// A request may always wait for max_wait of its class divided by this, however
/// long its service time, so that there is queued work when a slot becomes
/// free.
constexpr int64_t kMinWaitDivisor = 8;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);

class AdmissionImpl : public Admission {
 public:
  AdmissionEffects OnRequest(const SlotRequest& request, Instant now) override {
    if (Draining()) return RefusalOf(request.id, AdmissionCode::kDraining);
    if (config_.slots == 0) {
      return RefusalOf(request.id, AdmissionCode::kNotServing);
    }
    GrowSlots(now);
    const Duration wait = ExpectedWait(request);
    if (!CanFinish(request, wait, now)) {
      return RefusalOf(request.id, AdmissionCode::kDeadlineTooNear);
    }
    AdmissionEffects effects;
    if (QueuedOf(request.request_class) == 0 &&
        shares_.MayRun(request.request_class)) {
      order_.OnAsked(request, now);
      Admit(request, effects);
      return effects;
    }
    const Instant latest_start = LatestStart(request, now);
    if (latest_start > now) order_.OnAsked(request, now);
    if (now + wait > latest_start) {
      // This request and all queued behind it would be answered late: a queue
      // with a wait longer than the objective makes every answer late.
      return RefusalOf(request.id, AdmissionCode::kQueueFull);
    }
    if (queue_.size() >= config_.max_queue && !ShedFor(request, effects)) {
      return RefusalOf(request.id, AdmissionCode::kQueueFull);
    }
    queue_.push_back({request, latest_start});
    ShedLastInTurn(request, now, effects);
    return effects;
  }

  AdmissionEffects OnFinished(SlotRequestId id, Duration service_time,
                              Instant now) override {
    auto found = running_.find(id);
    if (found != running_.end()) {
      shares_.OnEnded(found->second);
      RecordServiceTime(found->second, service_time);
      running_.erase(found);
    }
    return OnTick(now);
  }

  bool CancelQueued(SlotRequestId id) override {
    return std::erase_if(queue_, [id](const QueuedRequest& queued) {
             return queued.request.id == id;
           }) > 0;
  }

  AdmissionEffects OnTick(Instant now) override {
    AdmissionEffects effects;
    GrowSlots(now);
    std::erase_if(queue_, [&](const QueuedRequest& queued) {
      if (queued.latest_start > now) return false;
      Refuse(queued, AdmissionCode::kWaitedTooLong, effects);
      return true;
    });
    AdmitQueued(now, effects);
    return effects;
  }

  AdmissionEffects Configure(const AdmissionConfig& config,
                             Instant now) override {
    if (config_.slots == 0) serving_since_ = now;
    config_ = config;
    shares_.Divide(config.slots, config.classes);
    if (Draining()) return RefuseAllQueued(AdmissionCode::kDraining);
    if (config_.slots == 0) return RefuseAllQueued(AdmissionCode::kNotServing);
    return OnTick(now);
  }

  AdmissionEffects Drain(Instant) override {
    drain_requested_ = true;
    return RefuseAllQueued(AdmissionCode::kDraining);
  }

  LoadReport Load(const std::string& request_class) const override {
    const ServiceEstimate& estimate = EstimateOf(request_class);
    return {static_cast<uint32_t>(running_.size()),
            static_cast<uint32_t>(queue_.size()),
            shares_.Slots(),
            estimate.Median(),
            !Draining() && config_.slots > 0,
            static_cast<uint32_t>(estimate.MedianSamples())};
  }

 private:
  bool Draining() const { return drain_requested_ || config_.draining; }

  /// Raises the slots of a started upstream step by step during the ramp.
  void GrowSlots(Instant now) {
    uint32_t slots = config_.slots;
    const Duration elapsed = now - serving_since_;
    if (elapsed < config_.ramp) {
      const double done = static_cast<double>(elapsed.count()) /
                          static_cast<double>(config_.ramp.count());
      const double share = kRampStartShare + (1 - kRampStartShare) * done;
      slots = std::max<uint32_t>(1, static_cast<uint32_t>(slots * share));
    }
    if (slots != shares_.Slots()) shares_.Divide(slots, config_.classes);
  }

  void RecordServiceTime(const std::string& request_class,
                         Duration service_time) {
    if (service_time <= Duration{}) return;
    const double sample = static_cast<double>(service_time.count());
    mean_service_micros_ += kMeanSmoothing * (sample - mean_service_micros_);
    estimates_[request_class].Add(service_time);
  }

  /// @return the estimate of a class; one without samples if none is known.
  const ServiceEstimate& EstimateOf(const std::string& request_class) const {
    static const ServiceEstimate no_samples;
    auto found = estimates_.find(request_class);
    return found == estimates_.end() ? no_samples : found->second;
  }

  Duration ExpectedServiceTime(const SlotRequest& request) const {
    if (request.expected > Duration{}) return request.expected;
    return EstimateOf(request.request_class).Median();
  }

  Duration HighServiceTime(const SlotRequest& request) const {
    if (request.expected > Duration{}) return request.expected;
    return EstimateOf(request.request_class).HighPercentile();
  }

  /// @return the expected wait of a new request for a slot; zero when no
  /// service times are known.
  Duration ExpectedWait(const SlotRequest& request) const {
    const std::string& request_class = request.request_class;
    if (shares_.MayRun(request_class)) return {};
    const SlotShare share = shares_.ShareOf(request_class);
    if (share.limit >= shares_.Slots()) return WaitForAnySlot(request);
    auto found = estimates_.find(request_class);
    if (found == estimates_.end()) return {};
    const int64_t parallel_runs =
        std::max<int64_t>(1, std::max(shares_.RunningOf(request_class),
                                      shares_.ShareOf(request_class).reserved));
    const int64_t queued_ahead = order_.QueuedAhead(request, queue_, true);
    return found->second.Median() * (queued_ahead + 1) / parallel_runs;
  }

  /// The rate at which slots become free follows from the service times of all
  /// running requests. Queued requests that the new one does not take
  /// precedence over get slots first.
  Duration WaitForAnySlot(const SlotRequest& request) const {
    double completions_per_micro = 0;
    for (const auto& [id, running_class] : running_) {
      auto estimate = estimates_.find(running_class);
      if (estimate == estimates_.end()) continue;
      const Duration median = estimate->second.Median();
      if (median > Duration{}) {
        completions_per_micro += 1.0 / static_cast<double>(median.count());
      }
    }
    if (completions_per_micro <= 0) return {};
    const int64_t queued_ahead = order_.QueuedAhead(request, queue_, false);
    return Duration(static_cast<int64_t>(static_cast<double>(queued_ahead + 1) /
                                         completions_per_micro));
  }

  /// At peak load every queue is full, so that nearly every request that runs
  /// has waited almost until its latest start. Five in six of those must still
  /// be answered within the objective. A request that is not expected to start
  /// by then is refused without queueing, so that a retry can still meet the
  /// objective.
  /// @return the time at which a request is refused if it has not started.
  Instant LatestStart(const SlotRequest& request, Instant now) const {
    const Duration max_wait = MaxWait(request);
    const Instant latest = std::min(request.deadline, now + max_wait);
    if (request.objective == Instant{}) return latest;
    // A request that would be answered late is not queued: it would take a slot
    // from requests that can still be answered in time.
    if (now + ExpectedServiceTime(request) > request.objective) return now;
    const Instant in_time = request.objective - HighServiceTime(request);
    return std::min(latest,
                    std::max(in_time, now + max_wait / kMinWaitDivisor));
  }

  /// @return whether the request can be answered by its deadline. While no
  /// request of its class is running, the estimate is ignored: a run then
  /// corrects an estimate that is too high.
  bool CanFinish(const SlotRequest& request, Duration wait, Instant now) const {
    if (request.deadline <= now) return false;
    if (shares_.RunningOf(request.request_class) == 0) return true;
    return now + wait + ExpectedServiceTime(request) <= request.deadline;
  }

  Duration MaxWait(const SlotRequest& request) const {
    auto found = config_.classes.find(request.request_class);
    return found == config_.classes.end() ? Duration{} : found->second.max_wait;
  }

  size_t QueuedOf(const std::string& request_class) const {
    return static_cast<size_t>(std::count_if(
        queue_.begin(), queue_.end(), [&](const QueuedRequest& queued) {
          return queued.request.request_class == request_class;
        }));
  }

  /// Refuses one queued request in favour of a new one.
  /// @return whether a request was refused.
  bool ShedFor(const SlotRequest& request, AdmissionEffects& effects) {
    const auto victim = order_.VictimFor(request, queue_);
    if (victim == queue_.end()) return false;
    Refuse(*victim, AdmissionCode::kShed, effects);
    queue_.erase(victim);
    return true;
  }

  /// A request that went ahead of others in turn may have left no time to the
  /// last: that one is refused at once instead of when its time is up.
  void ShedLastInTurn(const SlotRequest& added, Instant now,
                      AdmissionEffects& effects) {
    const auto last = order_.LastInTurn(added, queue_);
    if (last == queue_.end() || last->request.id == added.id) return;
    const auto next = std::next(last);
    SlotQueue removed;
    removed.splice(removed.end(), queue_, last);
    if (now + ExpectedWait(last->request) > last->latest_start) {
      Refuse(*last, AdmissionCode::kShed, effects);
    } else {
      queue_.splice(next, removed);
    }
  }

  void AdmitQueued(Instant now, AdmissionEffects& effects) {
    const auto may_run = [this](const std::string& request_class) {
      return shares_.MayRun(request_class);
    };
    for (auto next = order_.Next(queue_, may_run); next != queue_.end();
         next = order_.Next(queue_, may_run)) {
      const QueuedRequest queued = std::move(*next);
      queue_.erase(next);
      if (CanFinish(queued.request, {}, now)) {
        Admit(queued.request, effects);
      } else {
        Refuse(queued, AdmissionCode::kDeadlineTooNear, effects);
      }
    }
  }

  void Admit(const SlotRequest& request, AdmissionEffects& effects) {
    running_[request.id] = request.request_class;
    shares_.OnStarted(request.request_class);
    order_.OnStarted(request, queue_);
    effects.admitted.push_back(request.id);
  }

  Duration RetryAfter() const {
    const double queued = static_cast<double>(queue_.size());
    const double slots = std::max<double>(1, shares_.Slots());
    const Duration queue_drain_time(
        static_cast<int64_t>(mean_service_micros_ * queued / slots));
    return std::max(kMinRetryAfter, queue_drain_time);
  }

  void Refuse(const QueuedRequest& queued, AdmissionCode code,
              AdmissionEffects& effects) const {
    effects.refused.push_back({queued.request.id, code, RetryAfter()});
  }

  AdmissionEffects RefusalOf(SlotRequestId id, AdmissionCode code) const {
    return {{}, {{id, code, RetryAfter()}}};
  }

  AdmissionEffects RefuseAllQueued(AdmissionCode code) {
    AdmissionEffects effects;
    for (const QueuedRequest& queued : queue_) Refuse(queued, code, effects);
    queue_.clear();
    return effects;
  }

  AdmissionConfig config_;
  SlotShares shares_;
  std::map<SlotRequestId, std::string> running_;
  SlotQueue queue_;
  std::map<std::string, ServiceEstimate> estimates_;
  SlotOrder order_{config_.classes, estimates_};
  Instant serving_since_;
  bool drain_requested_ = false;
  double mean_service_micros_ = 0;
};

}  // namespace

std::unique_ptr<Admission> MakeAdmission() {
  return std::make_unique<AdmissionImpl>();
}

}  // namespace hibiscusglade
