#include "limits/internal/limit_coordinator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hibiscusglade {
namespace {

/// In which all daemons of the domain report to a new coordinator.
constexpr Duration kLearningTime = std::chrono::milliseconds(800);
/// Without a report, after which a coordinator begins anew.
constexpr Duration kSilence = std::chrono::milliseconds(1500);
/// Longer than a daemon keeps an account that it doesn't use.
constexpr Duration kAccountTime = std::chrono::seconds(30);
constexpr Duration kPruneInterval = std::chrono::seconds(1);
constexpr double kDemandSeconds = 0.5;
/// Of what is left, given out while the customer is far below its limit.
constexpr double kFreePart = 0.7;
constexpr double kMaxWaitSeconds = 3;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

wire::LimitGrant LimitCoordinator::OnReport(const std::string& instance,
                                            uint64_t incarnation,
                                            const wire::LimitReport& report,
                                            uint32_t daemons, Instant now) {
  daemons_ = std::max(1U, daemons);
  if (!last_report_.has_value() || now - *last_report_ > kSilence) began_ = now;
  last_report_ = now;
  Prune(now);
  wire::LimitGrant answer;
  const auto found = senders_.find(instance);
  const bool knows =
      found != senders_.end() && found->second.incarnation == incarnation;
  if (!knows && !report.history()) {
    answer.set_unknown(true);
    return answer;
  }
  if (!knows) senders_[instance] = {incarnation, ++last_number_, now};
  Sender& sender = senders_[instance];
  sender.heard = now;
  for (const wire::LimitReport::Use& use : report.uses()) {
    *answer.add_rooms() = OnUse(sender, report.history(), use, now);
  }
  for (auto& [name, customer] : customers_) {
    if (!customer.tight) continue;
    if (auto terms = terms_(name)) customer.terms = std::move(*terms);
    UpdateTight(name, customer, LevelOf(customer, now));
    if (customer.tight) answer.add_tight(name);
  }
  answer.set_sent_micros(report.sent_micros());
  return answer;
}

wire::LimitGrant::Room LimitCoordinator::OnUse(
    const Sender& sender, bool history, const wire::LimitReport::Use& use,
    Instant now) {
  wire::LimitGrant::Room room;
  room.set_customer(use.customer());
  room.set_net(static_cast<int64_t>(use.passed()) -
               static_cast<int64_t>(use.given_back()));
  const auto terms = terms_(use.customer());
  if (!terms.has_value()) return room;
  Customer& customer = customers_[use.customer()];
  customer.terms = *terms;
  const auto [found, is_new] = customer.accounts.try_emplace(sender.number);
  Account& account = found->second;
  Count(customer, account, is_new, history, use, now);
  const double level = LevelOf(customer, now);
  UpdateTight(use.customer(), customer, level);
  SetCredit(customer, account, level, now);
  room.set_credit(account.credit);
  if (account.credit > 0) return room;
  double demand = 0;
  for (const auto& [number, other] : customer.accounts) demand += other.demand;
  const double rate = std::max(terms->current.rate, 0.01);
  const double wait = std::max(0.0, 1 - level) / rate + demand / rate * 0.1;
  room.set_retry_after_micros(
      static_cast<uint64_t>(std::min(wait, kMaxWaitSeconds) * 1e6));
  return room;
}

void LimitCoordinator::Count(Customer& customer, Account& account, bool is_new,
                             bool history, const wire::LimitReport::Use& use,
                             Instant now) {
  if (is_new && history) {
    customer.use.AddSlots({use.slots().begin(), use.slots().end()}, now);
  } else {
    // A daemon that had forgotten the customer counts from zero again.
    if (use.passed() < account.passed) account.passed = account.given_back = 0;
    customer.use.Add(static_cast<uint32_t>(use.passed() - account.passed), now);
    if (use.given_back() > account.given_back) {
      customer.use.Remove(
          static_cast<uint32_t>(use.given_back() - account.given_back),
          now - Duration(static_cast<int64_t>(use.returned_micros())), now);
    }
  }
  account.passed = use.passed();
  account.given_back = use.given_back();
  const double since =
      is_new ? kDemandSeconds : std::max(0.02, Seconds(now - account.at));
  const double weight = 1 - std::exp(-since / kDemandSeconds);
  account.demand += weight * (use.wanted() / since - account.demand);
  account.at = now;
}

void LimitCoordinator::SetCredit(Customer& customer, Account& account,
                                 double level, Instant now) {
  account.credit = 0;
  double demand = 0;
  double available = level;
  for (const auto& [number, other] : customer.accounts) {
    const Duration age = now - other.at;
    demand += other.demand * std::exp(-Seconds(age));
    // Its credit has run out: it counts from before the report arrived.
    if (age < kContactTime) available -= other.credit;
  }
  if (available < 1 || account.demand <= 0) return;
  const double part = account.demand / std::max(demand, 1e-6);
  const double share = (customer.tight ? 1 : kFreePart) * level * part;
  account.credit =
      static_cast<uint32_t>(std::min(available, std::max(1.0, share)));
}

double LimitCoordinator::LevelOf(Customer& customer, Instant now) {
  return customer.use.Level(customer.terms.Bucket(HeardPart(now)), now);
}

double LimitCoordinator::HeardPart(Instant now) const {
  const uint32_t heard = Heard(now);
  // One that hears nobody but a single daemon may be cut off with it.
  if (heard > 1 && now - began_ < kLearningTime) return 1;
  return std::min(1.0, heard / static_cast<double>(daemons_));
}

uint32_t LimitCoordinator::Heard(Instant now) const {
  return static_cast<uint32_t>(
      std::ranges::count_if(senders_, [now](const auto& item) {
        return now - item.second.heard < kContactTime;
      }));
}

void LimitCoordinator::UpdateTight(const std::string& name, Customer& customer,
                                   double level) {
  const DomainTerms& terms = customer.terms.current;
  const bool tight =
      level < (customer.tight ? terms.capacity / 2 : terms.tight_below);
  if (tight == customer.tight) return;
  customer.tight = tight;
  changes_.push_back({name, tight});
}

std::vector<TightChange> LimitCoordinator::TakeChanges() {
  return std::exchange(changes_, {});
}

wire::LimitGrant LimitCoordinator::Notice() const {
  wire::LimitGrant notice;
  for (const auto& [name, customer] : customers_) {
    if (customer.tight) notice.add_tight(name);
  }
  return notice;
}

std::optional<CoordinatedLimit> LimitCoordinator::StateOf(
    const std::string& customer, Instant now) {
  const auto found = customers_.find(customer);
  if (found == customers_.end()) return std::nullopt;
  CoordinatedLimit state{LevelOf(found->second, now),
                         found->second.use.Sum(now), 0, found->second.tight};
  for (const auto& [number, account] : found->second.accounts) {
    state.outstanding += account.credit;
  }
  return state;
}

void LimitCoordinator::Prune(Instant now) {
  if (now - pruned_ < kPruneInterval) return;
  pruned_ = now;
  for (auto& [name, customer] : customers_) {
    std::erase_if(customer.accounts, [now](const auto& item) {
      return now - item.second.at > kAccountTime;
    });
  }
  std::erase_if(customers_,
                [](const auto& item) { return item.second.accounts.empty(); });
  std::erase_if(senders_, [now](const auto& item) {
    return now - item.second.heard > kAccountTime;
  });
}

}  // namespace hibiscusglade
