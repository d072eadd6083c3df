#include "admission/admission.h"

#include <algorithm>
#include <deque>
#include <set>
#include <utility>

#include "admission/admission_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr double kSmoothing = 0.1;

class AdmissionImpl : public Admission {
 public:
  AdmissionEffects OnRequest(const SlotRequest& request, Instant now) override {
    if (draining_) return Refused(request.ticket, AdmissionCode::kDraining);
    if (config_.slots == 0) {
      return Refused(request.ticket, AdmissionCode::kNotServing);
    }
    if (running_.size() < config_.slots) return Admitted(request.ticket);
    if (waiting_.size() >= config_.max_queue) {
      return Refused(request.ticket, AdmissionCode::kQueueFull);
    }
    waiting_.push_back(
        {request, std::min(request.deadline, now + MaxWait(request))});
    return {};
  }

  AdmissionEffects OnFinished(Ticket ticket, Duration service_time,
                              Instant now) override {
    running_.erase(ticket);
    const double sample = static_cast<double>(service_time.count());
    service_micros_ += kSmoothing * (sample - service_micros_);
    AdmissionEffects effects = OnTick(now);
    AdmitWaiting(effects);
    return effects;
  }

  bool Withdraw(Ticket ticket) override {
    return std::erase_if(waiting_, [ticket](const Waiting& waiting) {
             return waiting.request.ticket == ticket;
           }) > 0;
  }

  AdmissionEffects OnTick(Instant now) override {
    AdmissionEffects effects;
    std::erase_if(waiting_, [&](const Waiting& waiting) {
      if (waiting.until > now) return false;
      effects.refused.push_back(
          {waiting.request.ticket, AdmissionCode::kWaitedTooLong, {}});
      return true;
    });
    return effects;
  }

  AdmissionEffects Configure(const AdmissionConfig& config, Instant) override {
    config_ = config;
    AdmissionEffects effects;
    AdmitWaiting(effects);
    return effects;
  }

  AdmissionEffects Drain(Instant) override {
    draining_ = true;
    AdmissionEffects effects;
    for (const Waiting& waiting : waiting_) {
      effects.refused.push_back(
          {waiting.request.ticket, AdmissionCode::kDraining, {}});
    }
    waiting_.clear();
    return effects;
  }

  LoadReport Load() const override {
    return {static_cast<uint32_t>(running_.size()),
            static_cast<uint32_t>(waiting_.size()), config_.slots,
            Duration(static_cast<int64_t>(service_micros_)),
            !draining_ && config_.slots > 0};
  }

 private:
  struct Waiting {
    SlotRequest request;
    Instant until;
  };

  Duration MaxWait(const SlotRequest& request) const {
    auto found = config_.classes.find(request.request_class);
    return found == config_.classes.end() ? Duration{} : found->second.max_wait;
  }

  static AdmissionEffects Refused(Ticket ticket, AdmissionCode code) {
    return {{}, {{ticket, code, {}}}};
  }

  AdmissionEffects Admitted(Ticket ticket) {
    running_.insert(ticket);
    return {{ticket}, {}};
  }

  void AdmitWaiting(AdmissionEffects& effects) {
    while (running_.size() < config_.slots && !waiting_.empty()) {
      const Ticket ticket = waiting_.front().request.ticket;
      waiting_.pop_front();
      running_.insert(ticket);
      effects.admitted.push_back(ticket);
    }
  }

  AdmissionConfig config_;
  std::set<Ticket> running_;
  std::deque<Waiting> waiting_;
  bool draining_ = false;
  double service_micros_ = 0;
};

}  // namespace

std::unique_ptr<Admission> MakeAdmission() {
  return std::make_unique<AdmissionImpl>();
}

}  // namespace hibiscusglade
