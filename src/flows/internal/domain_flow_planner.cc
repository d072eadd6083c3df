#include "flows/domain_flow_planner.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Older figures say nothing about the room of now.
constexpr Duration kMaxAge = milliseconds(1500);
/// No failure domain has more requests/s for one service.
constexpr double kMaxRate = 1e7;
/// Share of its capacity that a failure domain fills before work leaves it, and
/// how far above and below it a shortage begins and ends.
constexpr double kHomeFill = 0.9;
constexpr double kShortageMargin = 0.05;
/// A domain that sends heavy requests fills its capacity further.
constexpr double kHeavyFill = 0.1;
constexpr double kHeavyBytes = 100'000;
/// Share of its capacity up to which a failure domain takes others' work. What
/// it takes is no part of its demand, so lending can't make it short.
constexpr double kLenderFill = 0.9;
constexpr double kNearFull = 0.75;
/// Flows follow by this share of the difference at each plan.
constexpr double kFollow = 0.4;
/// A larger fall isn't noise of the measurement: the flow falls at once.
constexpr double kSteepFall = 0.2;
/// Smaller changes are ignored.
constexpr double kMinChange = 0.01;
/// Part of an objective that the way to another failure domain may take.
constexpr double kMaxDelayShare = 0.5;
/// Ways whose delays differ by less are as good as each other.
constexpr Duration kDelayStep = milliseconds(5);
constexpr double kNothing = 1e-6;

struct Domain {
  std::string name;
  double demand = 0;
  double need = 0;  ///< Requests/s that should leave it.
  double room = 0;  ///< Requests/s that it can take from others.
  int64_t delay_step = 0;
};

double HomeFill(const ServiceRoom& room) {
  return kHomeFill +
         kHeavyFill * std::min(1.0, room.bytes_per_request / kHeavyBytes);
}

class Planner : public DomainFlowPlanner {
 public:
  explicit Planner(std::string failure_domain)
      : failure_domain_(std::move(failure_domain)) {}

  std::optional<FlowPlan> Plan(const std::string& service,
                               const RoomByDomain& rooms, Duration objective,
                               Instant now) override {
    State& state = states_[service];
    const auto own = rooms.find(failure_domain_);
    if (own == rooms.end() || !IsUsable(own->second, now)) {
      states_.erase(service);
      return std::nullopt;
    }
    std::vector<Domain> domains;
    bool any_short = false;
    for (const auto& [name, room] : rooms) {
      if (!IsUsable(room, now)) {
        state.short_domains.erase(name);
        continue;
      }
      domains.push_back(Assess(state, name, room));
      any_short |= state.short_domains[name];
    }
    state.pressure = PressureOf(own->second, state.short_domains);
    if (!any_short) {
      state.shares.clear();
      return std::nullopt;
    }
    return Damped(state, Flows(domains, rooms, objective));
  }

  Pressure OwnPressure(const std::string& service) const override {
    const auto state = states_.find(service);
    return state == states_.end() ? Pressure::kSuffices
                                  : state->second.pressure;
  }

  void Forget(const std::string& service) override { states_.erase(service); }

 private:
  struct State {
    std::map<std::string, bool> short_domains;
    std::map<std::string, double> shares;  ///< Of the last plan.
    Pressure pressure = Pressure::kSuffices;
  };

  static Domain Assess(State& state, const std::string& name,
                       const ServiceRoom& room) {
    bool& is_short = state.short_domains[name];
    const double fill = HomeFill(room);
    const double margin = is_short ? -kShortageMargin : kShortageMargin;
    is_short = room.demand > (fill + margin) * room.capacity;
    Domain domain{name, room.demand};
    if (is_short) {
      domain.need = std::max(0.0, room.demand - fill * room.capacity);
    } else {
      domain.room = std::max(0.0, kLenderFill * room.capacity - room.demand);
    }
    domain.delay_step = room.round_trip / kDelayStep;
    return domain;
  }

  Pressure PressureOf(const ServiceRoom& own,
                      const std::map<std::string, bool>& short_domains) const {
    if (short_domains.at(failure_domain_)) return Pressure::kShort;
    return own.demand > kNearFull * own.capacity ? Pressure::kNearFull
                                                 : Pressure::kSuffices;
  }

  /// @return the undamped plan of the own failure domain. Needs are met from
  /// the nearest rooms first; a room that is too small for those that need it
  /// is divided in proportion.
  FlowPlan Flows(std::vector<Domain>& domains, const RoomByDomain& rooms,
                 Duration objective) const {
    const auto own = std::ranges::find(domains, failure_domain_, &Domain::name);
    std::vector<Domain*> lenders;
    for (Domain& domain : domains) {
      const Duration delay = rooms.at(domain.name).round_trip;
      const bool too_far =
          objective > Duration{} &&
          static_cast<double>(delay.count()) >
              kMaxDelayShare * static_cast<double>(objective.count());
      if (&domain != &*own && domain.room > kNothing && !too_far) {
        lenders.push_back(&domain);
      }
    }
    std::ranges::stable_sort(lenders, {}, &Domain::delay_step);
    FlowPlan plan;
    auto begin = lenders.begin();
    while (begin != lenders.end()) {
      const auto end = std::find_if(begin, lenders.end(), [&](Domain* lender) {
        return lender->delay_step != (*begin)->delay_step;
      });
      Divide({begin, end}, domains, *own, plan);
      begin = end;
    }
    return plan;
  }

  /// Divides the rooms of equally near lenders among all that need them.
  static void Divide(const std::vector<Domain*>& lenders,
                     std::vector<Domain>& domains, const Domain& own,
                     FlowPlan& plan) {
    double need = 0;
    double room = 0;
    for (const Domain& domain : domains) need += domain.need;
    for (const Domain* lender : lenders) room += lender->room;
    const double used = std::min(1.0, need / room);
    for (Domain* lender : lenders) {
      const double taken = lender->room * used;
      const double ours = need > kNothing ? taken * own.need / need : 0;
      DomainFlow& flow = plan.flows[lender->name];
      flow.share = own.demand > kNothing ? ours / own.demand : 0;
      flow.has_room = lender->room - taken > kNothing;
    }
    const double met = need > kNothing ? std::min(1.0, room / need) : 1;
    for (Domain& domain : domains) domain.need *= 1 - met;
  }

  static FlowPlan Damped(State& state, FlowPlan plan) {
    std::map<std::string, double> shares;
    for (auto& [domain, flow] : plan.flows) {
      const auto last = state.shares.find(domain);
      const double before = last == state.shares.end() ? 0 : last->second;
      const double change = flow.share - before;
      const bool is_small = flow.share > 0 && std::abs(change) < kMinChange;
      const bool falls_at_once = flow.share <= 0 || change < -kSteepFall;
      if (before > 0 && is_small) {
        flow.share = before;
      } else if (!falls_at_once) {
        flow.share = before + kFollow * change;
      }
      shares[domain] = flow.share;
    }
    state.shares = std::move(shares);
    return plan;
  }

  std::string failure_domain_;
  std::map<std::string, State> states_;
};

}  // namespace

bool IsUsable(const ServiceRoom& room, Instant now) {
  const auto possible = [](double rate) {
    return std::isfinite(rate) && rate >= 0 && rate <= kMaxRate;
  };
  return possible(room.demand) && possible(room.capacity) &&
         std::isfinite(room.bytes_per_request) && room.bytes_per_request >= 0 &&
         room.round_trip >= Duration{} && room.known_at + kMaxAge >= now;
}

std::unique_ptr<DomainFlowPlanner> MakeDomainFlowPlanner(
    std::string failure_domain) {
  return std::make_unique<Planner>(std::move(failure_domain));
}

}  // namespace hibiscusglade
