#include "routing/flow_router.h"

#include <utility>

namespace hibiscusglade {
namespace {

constexpr Duration kPlanLifetime = std::chrono::milliseconds(1500);
constexpr Duration kPressureLifetime = std::chrono::seconds(2);
constexpr double kRateSmoothing = 0.5;
constexpr double kSizeSmoothing = 0.05;
/// Less is not worth a report.
constexpr double kMinRate = 0.05;

void Smooth(double& average, uint64_t bytes) {
  average += kSizeSmoothing * (static_cast<double>(bytes) - average);
}

}  // namespace

void FlowRouter::OnCall(const std::string& service, uint64_t body_bytes) {
  Service& state = services_[service];
  ++state.calls;
  Smooth(state.body_bytes, body_bytes);
}

void FlowRouter::OnAnswerSize(const std::string& service, uint64_t bytes) {
  const auto state = services_.find(service);
  if (state != services_.end()) Smooth(state->second.answer_bytes, bytes);
}

void FlowRouter::OnPressure(const std::string& service, Instant now) {
  services_[service].pressed_at = now;
}

void FlowRouter::SetPlan(const std::string& service, FlowPlan plan,
                         Instant now) {
  Service& state = services_[service];
  for (const auto& [domain, flow] : plan.flows) {
    state.credits.try_emplace(domain, random_.Fraction());
  }
  state.plan = std::move(plan);
  state.planned_at = now;
}

const FlowPlan* FlowRouter::PlanOf(const std::string& service,
                                   Instant now) const {
  const auto state = services_.find(service);
  if (state == services_.end()) return nullptr;
  const bool fresh = state->second.planned_at != Instant{} &&
                     now < state->second.planned_at + kPlanLifetime;
  return fresh ? &state->second.plan : nullptr;
}

std::string FlowRouter::NextDomain(const std::string& service, Instant now) {
  const FlowPlan* plan = PlanOf(service, now);
  if (plan == nullptr) return {};
  Service& state = services_[service];
  std::string next;
  for (const auto& [domain, flow] : plan->flows) {
    double& credit = state.credits[domain];
    credit += flow.share;
    if (credit >= 1 && (next.empty() || credit > state.credits[next])) {
      next = domain;
    }
  }
  if (!next.empty()) state.credits[next] -= 1;
  return next;
}

std::vector<EntryDemand> FlowRouter::MeasureDemand(Instant now) {
  const std::chrono::duration<double> window =
      now - std::exchange(window_start_, now);
  if (window.count() <= 0) return {};
  std::vector<EntryDemand> demands;
  for (auto it = services_.begin(); it != services_.end();) {
    Service& state = it->second;
    const double rate = std::exchange(state.calls, 0) / window.count();
    state.rate += kRateSmoothing * (rate - state.rate);
    if (state.rate < kMinRate && PlanOf(it->first, now) == nullptr) {
      it = services_.erase(it);
      continue;
    }
    demands.push_back({it->first, state.rate,
                       state.body_bytes + state.answer_bytes,
                       state.pressed_at != Instant{} &&
                           now < state.pressed_at + kPressureLifetime});
    ++it;
  }
  return demands;
}

}  // namespace hibiscusglade
