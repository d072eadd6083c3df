#include "flows/domain_flows.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "base/log.h"
#include "flows/completion_meter.h"
#include "flows/domain_flow_planner.h"
#include "flows/internal/room_codec.h"
#include "flows/internal/room_gatherer.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kRound = milliseconds(500);
/// For which a daemon goes on to report after it was asked.
constexpr Duration kAskLifetime = seconds(3);
/// Until silence of all other failure domains counts as their answer.
constexpr Duration kAnswerTime = seconds(2);
/// Share of its slots above which an upstream is reported unasked.
constexpr double kPressedFill = 0.6;
/// A round trip may grow by this share at once; it falls at once.
constexpr double kRoundTripSmoothing = 0.2;
constexpr Duration kMaxRoundTrip = seconds(2);
constexpr double kBytesPerMegabit = 125'000;

uint64_t Micros(Instant time) {
  return static_cast<uint64_t>(time.time_since_epoch().count());
}

/// What this daemon coordinates for its failure domain.
struct CoordinatedService {
  RoomGatherer gatherer;
  std::map<std::string, Instant> heard_at;  ///< By other failure domain.
  std::map<std::string, Duration> round_trips;
  Instant asking_since;  ///< Zero: the room of others isn't needed.
  bool leaves = false;   ///< Work leaves the failure domain.
};

class DomainFlowsImpl : public RequestPart {
 public:
  DomainFlowsImpl(DomainFlowsConfig config, DomainFlowsParts parts)
      : config_(std::move(config)),
        parts_(std::move(parts)),
        planner_(MakeDomainFlowPlanner(config_.failure_domain)) {}

  bool OnPeerMessage(const std::string&, const ReturnPath&,
                     const wire::Envelope& message, Instant now) override {
    const bool is_room = message.has_room_plan() || message.has_room_report();
    if (is_room && message.failure_domain().empty()) return true;
    const bool from_home = message.failure_domain() == config_.failure_domain;
    if (message.has_room_plan()) {
      if (from_home) OnPlan(message.room_plan(), now);
      return true;
    }
    if (!message.has_room_report()) return false;
    const RouteTablePtr table = parts_.routes.Current();
    if (table == nullptr) return true;
    const wire::RoomReport& report = message.room_report();
    for (const wire::RoomReport::Service& service : report.services()) {
      // Unknown names would grow the state of this daemon.
      if (!table->Document().services.contains(service.service())) continue;
      CoordinatedService& state = coordinated_[service.service()];
      if (!report.summary() && from_home) {
        state.gatherer.OnReport(message.instance(),
                                MemberRoomFromWire(service, now));
      } else if (report.summary() && !from_home) {
        OnSummary(message.failure_domain(), service, state, now);
      }
    }
    return true;
  }

  void OnTick(Instant now) override {
    meter_.Sample(parts_.activity(), now);
    if (now < next_round_) return;
    next_round_ = now + kRound;
    const RouteTablePtr table = parts_.routes.Current();
    if (table == nullptr) return;
    std::vector<std::string> domains = table->FailureDomains();
    std::erase(domains, config_.failure_domain);
    const std::vector<EntryDemand> demands = parts_.router.MeasureDemand(now);
    if (domains.empty()) return;
    SendReports(*table, demands, now);
    Coordinate(*table, domains, now);
  }

 private:
  using Reports = std::map<std::string, wire::Envelope>;

  void OnPlan(const wire::RoomPlan& plan, Instant now) {
    const RouteTablePtr table = parts_.routes.Current();
    if (table == nullptr) return;
    for (const wire::RoomPlan::Service& service : plan.services()) {
      if (!table->Document().services.contains(service.service())) continue;
      asked_until_[service.service()] = now + kAskLifetime;
      if (!service.planned()) continue;
      parts_.router.SetPlan(service.service(), FlowPlanFromWire(service), now);
    }
  }

  static void OnSummary(const std::string& domain,
                        const wire::RoomReport::Service& service,
                        CoordinatedService& state, Instant now) {
    const DomainRoom word = DomainRoomFromWire(service, now);
    state.gatherer.OnSummary(domain, word);
    state.heard_at[domain] = now;
    if (service.echo_micros() == 0) return;
    const auto since = static_cast<int64_t>(
        Micros(now) - service.echo_micros() - service.echo_age_micros());
    const Duration round_trip(since);
    if (round_trip < Duration{} || round_trip > kMaxRoundTrip) return;
    auto [known, is_new] = state.round_trips.try_emplace(domain, round_trip);
    const auto grown = Duration(static_cast<int64_t>(
                           static_cast<double>(known->second.count()) *
                           (1 + kRoundTripSmoothing))) +
                       Duration(1);
    known->second = std::min(round_trip, grown);
  }

  /// Reports those services that are pressed or asked for.
  void SendReports(const RouteTable& table,
                   const std::vector<EntryDemand>& demands, Instant now) {
    std::erase_if(asked_until_,
                  [now](const auto& asked) { return now >= asked.second; });
    std::map<std::string, MemberRoom> rooms;
    for (const EntryDemand& demand : demands) {
      MemberRoom& room = rooms[demand.service];
      room.demand = demand.rate;
      room.bytes_per_request = demand.bytes_per_request;
      room.pressed = demand.pressed;
    }
    if (const std::string& own = meter_.Last().service; !own.empty()) {
      MemberRoom& room = rooms[own];
      const auto capacity = meter_.Capacity();
      room.capacity = capacity.value_or(0);
      (capacity ? room.slots : room.unmeasured_slots) = meter_.Last().slots;
      room.link_bytes = config_.link_mbps * kBytesPerMegabit;
      room.pressed |= meter_.Fill() > kPressedFill;
    }
    Reports reports;
    for (const auto& [service, room] : rooms) {
      if (!room.pressed && !asked_until_.contains(service)) continue;
      const DomainDaemon* coordinator =
          CoordinatorOf(table, config_.failure_domain, service);
      if (coordinator == nullptr) continue;
      wire::RoomReport::Service& out = *reports[coordinator->request_address]
                                            .mutable_room_report()
                                            ->add_services();
      out.set_service(service);
      ToWire(room, out);
    }
    Send(reports);
  }

  static const DomainDaemon* CoordinatorOf(const RouteTable& table,
                                           const std::string& domain,
                                           const std::string& service) {
    return ChooseCoordinator(table.DaemonsOf(domain), "room/" + service);
  }

  void Send(Reports& messages) {
    for (auto& [address, message] : messages) parts_.send(address, message);
  }

  void Coordinate(const RouteTable& table,
                  const std::vector<std::string>& domains, Instant now) {
    Reports summaries;
    Reports plans;
    for (auto it = coordinated_.begin(); it != coordinated_.end();) {
      auto& [service, state] = *it;
      if (!state.gatherer.Active(now)) {
        NoteLeaving(service, state, FlowPlan{}, {});
        planner_->Forget(service);
        it = coordinated_.erase(it);
        continue;
      }
      if (state.gatherer.AskNow(now)) {
        for (const DomainDaemon& daemon :
             table.DaemonsOf(config_.failure_domain)) {
          plans[daemon.request_address]
              .mutable_room_plan()
              ->add_services()
              ->set_service(service);
        }
      }
      if (const auto own = state.gatherer.OwnRoom(now)) {
        const auto plan = PlanFor(table, service, state, *own, now);
        AddSummaries(table, domains, service, state, *own, now, summaries);
        NoteLeaving(service, state, plan.value_or(FlowPlan{}), *own);
        if (plan.has_value()) {
          AddPlans(table, service, state, *plan, now, plans);
        }
      }
      ++it;
    }
    Send(summaries);
    Send(plans);
  }

  /// @return nullopt while none is needed, and while other failure domains may
  /// still answer.
  std::optional<FlowPlan> PlanFor(const RouteTable& table,
                                  const std::string& service,
                                  CoordinatedService& state,
                                  const ServiceRoom& own, Instant now) {
    RoomByDomain rooms{{config_.failure_domain, own}};
    bool any_heard = false;
    for (const auto& [domain, word] : state.gatherer.Others()) {
      ServiceRoom& room = rooms[domain] = word.room;
      const auto round_trip = state.round_trips.find(domain);
      if (round_trip != state.round_trips.end()) {
        room.round_trip = round_trip->second;
      }
      any_heard |= IsUsable(room, now);
    }
    auto plan =
        planner_->Plan(service, rooms, ObjectiveOf(table, service), now);
    if (planner_->OwnPressure(service) == Pressure::kSuffices) {
      state.asking_since = {};
    } else if (state.asking_since == Instant{}) {
      state.asking_since = now;
    }
    const bool answered =
        any_heard || (state.asking_since != Instant{} &&
                      now >= state.asking_since + kAnswerTime);
    return answered ? plan : std::nullopt;
  }

  /// @return the shortest latency objective of a service; zero: none.
  static Duration ObjectiveOf(const RouteTable& table,
                              const std::string& service) {
    Duration shortest{};
    for (const auto& [name, route] : table.Document().routes) {
      const bool goes_there =
          route.service == service ||
          std::ranges::find(route.shares, service, &RouteShare::service) !=
              route.shares.end();
      if (!goes_there || route.objective <= Duration{}) continue;
      shortest = shortest == Duration{} ? route.objective
                                        : std::min(shortest, route.objective);
    }
    return shortest;
  }

  void AddSummaries(const RouteTable& table,
                    const std::vector<std::string>& domains,
                    const std::string& service, const CoordinatedService& state,
                    const ServiceRoom& own, Instant now, Reports& out) const {
    const bool asks = planner_->OwnPressure(service) != Pressure::kSuffices;
    const bool asked =
        std::ranges::any_of(state.gatherer.Others(), [&](const auto& other) {
          return other.second.asks && IsUsable(other.second.room, now);
        });
    if (!asks && !asked) return;
    for (const std::string& domain : domains) {
      const DomainDaemon* coordinator = CoordinatorOf(table, domain, service);
      if (coordinator == nullptr) continue;
      wire::RoomReport& report =
          *out[coordinator->request_address].mutable_room_report();
      report.set_summary(true);
      wire::RoomReport::Service& summary = *report.add_services();
      summary.set_service(service);
      ToWire(own, summary);
      summary.set_pressed(asks);
      summary.set_sent_at_micros(Micros(now));
      const auto heard = state.heard_at.find(domain);
      if (heard == state.heard_at.end()) continue;
      summary.set_echo_micros(
          state.gatherer.Others().at(domain).peer_sent_micros);
      summary.set_echo_age_micros(
          static_cast<uint32_t>((now - heard->second).count()));
    }
  }

  void AddPlans(const RouteTable& table, const std::string& service,
                const CoordinatedService& state, const FlowPlan& plan,
                Instant now, Reports& out) const {
    const std::vector<std::string> members = state.gatherer.Members(now);
    for (const DomainDaemon& daemon : table.DaemonsOf(config_.failure_domain)) {
      if (!std::ranges::binary_search(members, daemon.instance)) continue;
      wire::RoomPlan::Service& to =
          *out[daemon.request_address].mutable_room_plan()->add_services();
      to.set_service(service);
      ToWire(plan, to);
    }
  }

  /// Logs when work of a service begins or ceases to leave.
  void NoteLeaving(const std::string& service, CoordinatedService& state,
                   const FlowPlan& plan, const ServiceRoom& own) {
    const double outside = plan.Outside();
    if (outside > 0 || state.leaves) {
      parts_.metrics.SetGauge("flow_share", "service=\"" + service + "\"",
                              outside);
    }
    const bool leaves = outside > 0;
    if (state.leaves == leaves) return;
    state.leaves = leaves;
    parts_.metrics.CounterOf("flow_changes_total", "").Add();
    LogFields fields = {{"service", service},
                        {"demand", std::to_string(own.demand)},
                        {"capacity", std::to_string(own.capacity)}};
    for (const auto& [domain, flow] : plan.flows) {
      if (flow.share <= 0) continue;
      fields.emplace_back("to", domain);
      fields.emplace_back("share", std::to_string(flow.share));
    }
    Log(LogLevel::kInfo, "flows",
        state.leaves ? "Work begins to leave the failure domain."
                     : "Work no longer leaves the failure domain.",
        fields);
  }

  DomainFlowsConfig config_;
  DomainFlowsParts parts_;
  std::unique_ptr<DomainFlowPlanner> planner_;
  CompletionMeter meter_;
  std::map<std::string, Instant> asked_until_;  ///< By service.
  std::map<std::string, CoordinatedService> coordinated_;
  Instant next_round_;
};

}  // namespace

std::unique_ptr<RequestPart> MakeDomainFlows(const DomainFlowsConfig& config,
                                             DomainFlowsParts parts) {
  return std::make_unique<DomainFlowsImpl>(config, std::move(parts));
}

}  // namespace hibiscusglade
