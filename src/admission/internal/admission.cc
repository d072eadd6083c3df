#include "admission/admission.h"

#include <algorithm>
#include <list>
#include <map>
#include <utility>

#include "admission/admission_result_codes.h"
#include "admission/internal/service_estimate.h"
#include "admission/internal/slot_shares.h"

namespace hibiscusglade {
namespace {

constexpr double kSmoothing = 0.1;
constexpr double kRampStart = 0.25;  ///< Share of the slots at the start.
/// Classes are told apart as short and long by this factor.
constexpr int64_t kMuchShorter = 2;
/// Part of a class's longest wait that is granted whatever is known of its
/// times, so that a slot that comes free finds work.
constexpr int64_t kShortWaitPart = 8;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);

struct Waiting {
  SlotRequest request;
  Instant until;
};

class AdmissionImpl : public Admission {
 public:
  AdmissionEffects OnRequest(const SlotRequest& request, Instant now) override {
    if (Draining()) return Refused(request.ticket, AdmissionCode::kDraining);
    if (config_.slots == 0) {
      return Refused(request.ticket, AdmissionCode::kNotServing);
    }
    GrowSlots(now);
    const Duration wait = WaitOf(request.request_class);
    if (!CanFinish(request, wait, now)) {
      return Refused(request.ticket, AdmissionCode::kDeadlineTooNear);
    }
    AdmissionEffects effects;
    if (WaitingOf(request.request_class) == 0 &&
        shares_.MayRun(request.request_class)) {
      Admit(request, effects);
      return effects;
    }
    const Instant latest_start = LatestStart(request, now);
    if (now + wait > latest_start) {
      // Waiting would make it late, and those behind it as well: a queue that
      // is longer than an objective serves everybody late.
      return Refused(request.ticket, AdmissionCode::kQueueFull);
    }
    if (waiting_.size() >= config_.max_queue && !MakeRoom(request, effects)) {
      return Refused(request.ticket, AdmissionCode::kQueueFull);
    }
    waiting_.push_back({request, latest_start});
    return effects;
  }

  AdmissionEffects OnFinished(Ticket ticket, Duration service_time,
                              Instant now) override {
    auto found = running_.find(ticket);
    if (found != running_.end()) {
      shares_.OnEnded(found->second);
      Learn(found->second, service_time);
      running_.erase(found);
    }
    return OnTick(now);
  }

  bool Withdraw(Ticket ticket) override {
    return std::erase_if(waiting_, [ticket](const Waiting& waiting) {
             return waiting.request.ticket == ticket;
           }) > 0;
  }

  AdmissionEffects OnTick(Instant now) override {
    AdmissionEffects effects;
    GrowSlots(now);
    std::erase_if(waiting_, [&](const Waiting& waiting) {
      if (waiting.until > now) return false;
      Refuse(waiting, AdmissionCode::kWaitedTooLong, effects);
      return true;
    });
    AdmitWaiting(now, effects);
    return effects;
  }

  AdmissionEffects Configure(const AdmissionConfig& config,
                             Instant now) override {
    if (config_.slots == 0) serving_since_ = now;
    config_ = config;
    shares_.Divide(config.slots, config.classes);
    if (Draining()) return RefuseAllWaiting(AdmissionCode::kDraining);
    if (config_.slots == 0) return RefuseAllWaiting(AdmissionCode::kNotServing);
    return OnTick(now);
  }

  AdmissionEffects Drain(Instant) override {
    drained_ = true;
    return RefuseAllWaiting(AdmissionCode::kDraining);
  }

  LoadReport Load(const std::string& request_class) const override {
    return {static_cast<uint32_t>(running_.size()),
            static_cast<uint32_t>(waiting_.size()), shares_.Slots(),
            EstimateOf(request_class).Median(),
            !Draining() && config_.slots > 0};
  }

 private:
  bool Draining() const { return drained_ || config_.draining; }

  /// A started upstream gets its slots by and by, over the ramp.
  void GrowSlots(Instant now) {
    uint32_t slots = config_.slots;
    const Duration served = now - serving_since_;
    if (served < config_.ramp) {
      const double done = static_cast<double>(served.count()) /
                          static_cast<double>(config_.ramp.count());
      const double share = kRampStart + (1 - kRampStart) * done;
      slots = std::max<uint32_t>(1, static_cast<uint32_t>(slots * share));
    }
    if (slots != shares_.Slots()) shares_.Divide(slots, config_.classes);
  }

  void Learn(const std::string& request_class, Duration service_time) {
    if (service_time <= Duration{}) return;
    const double sample = static_cast<double>(service_time.count());
    service_micros_ += kSmoothing * (sample - service_micros_);
    estimates_[request_class].Add(service_time);
  }

  /// @return what was learned of a class; zeros when nothing was.
  const ServiceEstimate& EstimateOf(const std::string& request_class) const {
    static const ServiceEstimate nothing_learned;
    auto found = estimates_.find(request_class);
    return found == estimates_.end() ? nothing_learned : found->second;
  }

  Duration Expected(const SlotRequest& request) const {
    if (request.expected > Duration{}) return request.expected;
    return EstimateOf(request.request_class).Median();
  }

  Duration HighOf(const SlotRequest& request) const {
    if (request.expected > Duration{}) return request.expected;
    return EstimateOf(request.request_class).High();
  }

  /// @return how long a new request of the class will wait for a slot.
  Duration WaitOf(const std::string& request_class) const {
    if (shares_.MayRun(request_class)) return {};
    const SlotShare share = shares_.ShareOf(request_class);
    if (share.most >= shares_.Slots()) return WaitForAnySlot(request_class);
    auto found = estimates_.find(request_class);
    if (found == estimates_.end()) return {};
    const int64_t lanes =
        std::max<int64_t>(1, std::max(shares_.RunningOf(request_class),
                                      shares_.ShareOf(request_class).reserved));
    const auto ahead = static_cast<int64_t>(WaitingOf(request_class));
    return found->second.Median() * (ahead + 1) / lanes;
  }

  /// Slots come free as fast as what runs in them ends, whatever its class;
  /// they go to those that wait with the same or a higher priority first.
  Duration WaitForAnySlot(const std::string& request_class) const {
    double ends_per_micro = 0;
    for (const auto& [ticket, running_class] : running_) {
      auto known = estimates_.find(running_class);
      if (known == estimates_.end()) continue;
      const Duration median = known->second.Median();
      if (median > Duration{}) {
        ends_per_micro += 1.0 / static_cast<double>(median.count());
      }
    }
    if (ends_per_micro <= 0) return {};
    const auto ahead = std::count_if(
        waiting_.begin(), waiting_.end(), [&](const Waiting& waiting) {
          return !GoesBefore(request_class, waiting.request.request_class);
        });
    return Duration(
        static_cast<int64_t>(static_cast<double>(ahead + 1) / ends_per_micro));
  }

  /// At the crest every queue is as long as it may be, so that nearly all that
  /// runs has waited for as long as this allows. Five in six of those shall
  /// still be answered within the objective; the others learn at once that
  /// they must come back, while their objective can still be met.
  /// @return when a request must start at the latest, or be refused.
  Instant LatestStart(const SlotRequest& request, Instant now) const {
    const Duration longest = MaxWait(request);
    const Instant latest = std::min(request.deadline, now + longest);
    if (request.objective == Instant{}) return latest;
    // What is late already takes no slot that others wait for.
    if (now + Expected(request) > request.objective) return now;
    const Instant in_time = request.objective - HighOf(request);
    return std::min(latest, std::max(in_time, now + longest / kShortWaitPart));
  }

  /// A class of which nothing runs is let through, so that a wrong estimate
  /// can be unlearned.
  bool CanFinish(const SlotRequest& request, Duration wait, Instant now) const {
    if (request.deadline <= now) return false;
    if (shares_.RunningOf(request.request_class) == 0) return true;
    return now + wait + Expected(request) <= request.deadline;
  }

  Duration MaxWait(const SlotRequest& request) const {
    auto found = config_.classes.find(request.request_class);
    return found == config_.classes.end() ? Duration{} : found->second.max_wait;
  }

  uint32_t PriorityOf(const std::string& request_class) const {
    auto found = config_.classes.find(request_class);
    return found == config_.classes.end() ? 0 : found->second.priority;
  }

  size_t WaitingOf(const std::string& request_class) const {
    return static_cast<size_t>(std::count_if(
        waiting_.begin(), waiting_.end(), [&](const Waiting& waiting) {
          return waiting.request.request_class == request_class;
        }));
  }

  /// Refuses one waiting request in favour of a new one: of a lower priority,
  /// else of a caller with more waiting in the same class.
  bool MakeRoom(const SlotRequest& request, AdmissionEffects& effects) {
    auto victim = waiting_.end();
    uint32_t lowest = PriorityOf(request.request_class);
    for (auto item = waiting_.begin(); item != waiting_.end(); ++item) {
      const uint32_t priority = PriorityOf(item->request.request_class);
      if (priority >= lowest && victim == waiting_.end()) continue;
      if (priority > lowest) continue;
      victim = item;
      lowest = priority;
    }
    if (victim == waiting_.end()) victim = NewestOfGreediest(request);
    if (victim == waiting_.end()) return false;
    Refuse(*victim, AdmissionCode::kShed, effects);
    waiting_.erase(victim);
    return true;
  }

  std::list<Waiting>::iterator NewestOfGreediest(const SlotRequest& request) {
    std::map<std::string, size_t> by_caller;
    for (const Waiting& waiting : waiting_) {
      if (waiting.request.request_class == request.request_class) {
        ++by_caller[waiting.request.caller];
      }
    }
    // The new request must leave its caller with fewer than the other had.
    size_t most = by_caller[request.caller] + 1;
    auto victim = waiting_.end();
    for (auto item = waiting_.begin(); item != waiting_.end(); ++item) {
      if (item->request.request_class != request.request_class) continue;
      const size_t count = by_caller[item->request.caller];
      if (count < most || (count == most && victim == waiting_.end())) continue;
      most = count;
      victim = item;
    }
    return victim;
  }

  void AdmitWaiting(Instant now, AdmissionEffects& effects) {
    for (auto next = NextToRun(); next != waiting_.end(); next = NextToRun()) {
      if (CanFinish(next->request, {}, now)) {
        Admit(next->request, effects);
      } else {
        Refuse(*next, AdmissionCode::kDeadlineTooNear, effects);
      }
      waiting_.erase(next);
    }
  }

  /// @return whether a class's requests take slots before those of another:
  /// by priority, and among equals the short before the long. Calls that
  /// running work waits for are short, and hold its slot while they wait.
  bool GoesBefore(const std::string& a, const std::string& b) const {
    if (a == b) return false;
    const uint32_t priority_a = PriorityOf(a);
    const uint32_t priority_b = PriorityOf(b);
    if (priority_a != priority_b) return priority_a > priority_b;
    auto known_a = estimates_.find(a);
    auto known_b = estimates_.find(b);
    if (known_a == estimates_.end() || known_b == estimates_.end()) {
      return false;
    }
    return known_a->second.Median() * kMuchShorter < known_b->second.Median();
  }

  /// @return the oldest request of the class that goes first.
  std::list<Waiting>::iterator NextToRun() {
    auto best = waiting_.end();
    for (auto item = waiting_.begin(); item != waiting_.end(); ++item) {
      const std::string& name = item->request.request_class;
      if (!shares_.MayRun(name)) continue;
      if (best == waiting_.end() ||
          GoesBefore(name, best->request.request_class)) {
        best = item;
      }
    }
    return best;
  }

  void Admit(const SlotRequest& request, AdmissionEffects& effects) {
    running_[request.ticket] = request.request_class;
    shares_.OnStarted(request.request_class);
    effects.admitted.push_back(request.ticket);
  }

  Duration RetryAfter() const {
    const double waiting = static_cast<double>(waiting_.size());
    const double slots = std::max<double>(1, shares_.Slots());
    const Duration drain(
        static_cast<int64_t>(service_micros_ * waiting / slots));
    return std::max(kMinRetryAfter, drain);
  }

  void Refuse(const Waiting& waiting, AdmissionCode code,
              AdmissionEffects& effects) const {
    effects.refused.push_back({waiting.request.ticket, code, RetryAfter()});
  }

  AdmissionEffects Refused(Ticket ticket, AdmissionCode code) const {
    return {{}, {{ticket, code, RetryAfter()}}};
  }

  AdmissionEffects RefuseAllWaiting(AdmissionCode code) {
    AdmissionEffects effects;
    for (const Waiting& waiting : waiting_) Refuse(waiting, code, effects);
    waiting_.clear();
    return effects;
  }

  AdmissionConfig config_;
  SlotShares shares_;
  std::map<Ticket, std::string> running_;
  std::list<Waiting> waiting_;  ///< Oldest first.
  std::map<std::string, ServiceEstimate> estimates_;
  Instant serving_since_;
  bool drained_ = false;
  double service_micros_ = 0;
};

}  // namespace

std::unique_ptr<Admission> MakeAdmission() {
  return std::make_unique<AdmissionImpl>();
}

}  // namespace hibiscusglade
