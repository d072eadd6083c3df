#include "limits/internal/limit_holder.h"

#include <algorithm>

#include "base/digest.h"

namespace hibiscusglade {
namespace {

/// Shorter than a coordinator remembers an account.
constexpr Duration kIdleAccountTime = std::chrono::seconds(10);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(5);

}  // namespace

LimitHolder::LimitHolder(const std::string& instance)
    : instance_(instance), random_(DigestOf(instance)) {}

LimitVerdict LimitHolder::Take(const std::string& customer,
                               const LimitTerms& terms, uint32_t daemons,
                               Instant now) {
  Account& account = accounts_[customer];
  account.last_wanted = now;
  ++account.wanted;
  const LimitVerdict verdict = Judge(customer, account, terms, daemons, now);
  if (verdict >= LimitVerdict::kOver) {
    // One without credit waits for its turn: asking more often brings no more.
    if (verdict != LimitVerdict::kOver || account.credit > 0) urgent_ = true;
    return verdict;
  }
  ++account.passed;
  account.use.Add(1, now);
  const int64_t unacked = account.Net() - account.acked_net;
  const int64_t credit =
      std::max(account.CreditAt(now), terms.current.FreeCredit(daemons));
  if (terms.current.IsSmall() || 2 * unacked >= credit) urgent_ = true;
  return verdict;
}

LimitVerdict LimitHolder::Judge(const std::string& customer, Account& account,
                                const LimitTerms& terms, uint32_t daemons,
                                Instant now) {
  const int64_t unacked = account.Net() - account.acked_net;
  const double dice = DiceOf(customer);
  if (!InContact(now)) {
    return account.use.Level(terms.SafeShare(daemons, dice), now) >= 1
               ? LimitVerdict::kAlone
               : LimitVerdict::kAloneOver;
  }
  if (tight_.contains(customer)) {
    return unacked < account.CreditAt(now) ? LimitVerdict::kCredit
                                           : LimitVerdict::kOver;
  }
  const DomainTerms strictest = terms.Strictest();
  const int64_t credit =
      std::max(account.CreditAt(now), strictest.FreeCredit(daemons));
  // A burst may come before the first report does.
  return unacked < credit ||
                 account.use.Level(strictest.SafeShare(daemons, dice), now) >= 1
             ? LimitVerdict::kFree
             : LimitVerdict::kUnacked;
}

double LimitHolder::DiceOf(const std::string& customer) const {
  return Random(DigestOf(instance_, DigestOf(customer))).Fraction();
}

void LimitHolder::GiveBack(const std::string& customer, Instant passed_at,
                           Instant now) {
  const auto found = accounts_.find(customer);
  if (found == accounts_.end()) return;
  Account& account = found->second;
  if (account.given_back == account.passed) return;
  ++account.given_back;
  account.use.Remove(1, passed_at, now);
  account.returned_since =
      std::min(account.returned_since.value_or(passed_at), passed_at);
}

Duration LimitHolder::RetryAfter(const std::string& customer,
                                 const LimitTerms& terms, uint32_t daemons,
                                 Instant now) {
  Account& account = accounts_[customer];
  Duration wait = account.retry_after;
  if (!InContact(now)) {
    const ChangedBucket share = terms.SafeShare(daemons, DiceOf(customer));
    const double missing = 1 - account.use.Level(share, now);
    const double rate = share.terms.rate;
    const double seconds = rate > 0 ? missing / rate : 1e6;
    wait = seconds < 5 ? Duration(static_cast<int64_t>(seconds * 1e6))
                       : kMaxRetryAfter;
  }
  wait = std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
  // Between one and two times as long, so that they don't return at once.
  return wait + Duration(static_cast<int64_t>(
                    random_.Below(static_cast<uint64_t>(wait.count()))));
}

std::optional<wire::LimitReport> LimitHolder::Report(
    const std::string& coordinator, Instant now) {
  const bool moved = coordinator != reported_to_;
  if (!moved && reported_at_.has_value()) {
    const Duration since = now - *reported_at_;
    const bool active = std::ranges::any_of(
        accounts_, [](const auto& item) { return item.second.Changed(); });
    Duration interval = active ? kReportInterval : kIdleReportInterval;
    if (urgent_) interval = kUrgentReportInterval;
    if (since < interval) return std::nullopt;
  }
  reported_to_ = coordinator;
  reported_at_ = now;
  urgent_ = false;
  Prune(now);
  wire::LimitReport report;
  report.set_sent_micros(static_cast<uint64_t>(now.time_since_epoch().count()));
  report.set_history(known_to_ != coordinator);
  for (auto& [customer, account] : accounts_) {
    if (!report.history() && !account.Changed()) continue;
    wire::LimitReport::Use* use = report.add_uses();
    use->set_customer(customer);
    use->set_passed(account.passed);
    use->set_given_back(account.given_back);
    use->set_wanted(account.wanted);
    if (account.returned_since.has_value()) {
      use->set_returned_micros(
          static_cast<uint64_t>((now - *account.returned_since).count()));
    }
    account.wanted = 0;
    if (!report.history()) continue;
    for (uint32_t slot : account.use.SlotsNewestFirst(now)) {
      use->add_slots(slot);
    }
  }
  return report;
}

void LimitHolder::OnGrant(const std::string& instance, uint64_t incarnation,
                          const wire::LimitGrant& grant, Instant now) {
  // An earlier coordinator's word is out of date.
  if (instance != reported_to_) return;
  const bool other_process =
      known_to_ == instance && known_incarnation_ != incarnation;
  if (grant.unknown() || (other_process && grant.sent_micros() == 0)) {
    known_to_.clear();
    reported_at_.reset();
    return;
  }
  const Instant sent{Duration(static_cast<int64_t>(grant.sent_micros()))};
  if (grant.sent_micros() > 0) {
    if (now - sent >= kContactTime) return;
    known_to_ = instance;
    known_incarnation_ = incarnation;
    contact_at_ = std::max(contact_at_.value_or(sent), sent);
  }
  tight_ = {grant.tight().begin(), grant.tight().end()};
  for (const wire::LimitGrant::Room& room : grant.rooms()) {
    const auto found = accounts_.find(room.customer());
    if (found == accounts_.end()) continue;
    Account& account = found->second;
    account.acked_net = room.net();
    if (!account.Changed()) account.returned_since.reset();
    account.credit = room.credit();
    account.credit_until = sent + kContactTime;
    account.retry_after =
        Duration(static_cast<int64_t>(room.retry_after_micros()));
  }
}

uint64_t LimitHolder::UsedInWindow(const std::string& customer, Instant now) {
  const auto found = accounts_.find(customer);
  return found == accounts_.end() ? 0 : found->second.use.Sum(now);
}

void LimitHolder::Prune(Instant now) {
  std::erase_if(accounts_, [now](const auto& item) {
    return !item.second.Changed() &&
           now - item.second.last_wanted > kIdleAccountTime;
  });
}

}  // namespace hibiscusglade
