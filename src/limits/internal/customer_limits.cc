#include "limits/customer_limits.h"

#include <algorithm>
#include <map>
#include <utility>

#include "base/log.h"
#include "limits/internal/limit_coordinator.h"
#include "limits/internal/limit_holder.h"
#include "limits/internal/limit_terms.h"
#include "limits/internal/terms_history.h"
#include "peer/sender_name.h"

namespace hibiscusglade {
namespace {

/// Of rendezvous among the daemons of a failure domain.
constexpr char kMatter[] = "limits";
/// Without a word, after which a daemon turns to the next coordinator; sooner
/// than the membership notices that one is frozen.
constexpr Duration kSilentTime = std::chrono::milliseconds(1200);
constexpr Duration kAvoidTime = std::chrono::seconds(5);

class NoLimits : public CustomerLimits {
 public:
  std::optional<Duration> Take(const CustomerConfig&, Instant) override {
    return std::nullopt;
  }
  void GiveBack(const std::string&, Instant, Instant) override {}
  LimitStatus StatusOf(const std::string&) override { return {}; }
  bool OnPeerMessage(const std::string&, const ReturnPath&,
                     const wire::Envelope&, Instant) override {
    return false;
  }
  void OnTick(Instant) override {}
};

/// @return the name of a verdict, as a label.
const char* NameOf(LimitVerdict verdict) {
  switch (verdict) {
    case LimitVerdict::kFree:
      return "reason=\"free\"";
    case LimitVerdict::kCredit:
      return "reason=\"credit\"";
    case LimitVerdict::kAlone:
      return "reason=\"alone\"";
    case LimitVerdict::kOver:
      return "reason=\"over\"";
    case LimitVerdict::kUnacked:
      return "reason=\"unacked\"";
    case LimitVerdict::kAloneOver:
      return "reason=\"alone_over\"";
  }
  return "";
}

class CustomerLimitsImpl : public CustomerLimits {
 public:
  CustomerLimitsImpl(const CustomerLimitsConfig& config,
                     const CustomerLimitsParts& parts)
      : config_(config),
        parts_(parts),
        holder_(config.identity.instance),
        coordinator_([this](const std::string& customer) {
          return TermsOfCustomer(customer, Time());
        }) {}

  std::optional<Duration> Take(const CustomerConfig& customer,
                               Instant) override {
    if (customer.rate_per_s == 0) return std::nullopt;
    Refresh();
    const Instant now = Time();
    const LimitTerms terms = history_.Of(customer, domains_, now);
    const LimitVerdict verdict =
        holder_.Take(customer.name, terms, daemons_, now);
    if (verdict < LimitVerdict::kOver) {
      parts_.metrics.CounterOf("limit_passes_total", NameOf(verdict)).Add();
      return std::nullopt;
    }
    parts_.metrics.CounterOf("limit_refusals_total", NameOf(verdict)).Add();
    return holder_.RetryAfter(customer.name, terms, daemons_, now);
  }

  void GiveBack(const std::string& customer, Instant taken_at,
                Instant now) override {
    const Instant boot = Time();
    holder_.GiveBack(customer, boot - (now - taken_at), boot);
    parts_.metrics.CounterOf("limit_returns_total", "").Add();
  }

  LimitStatus StatusOf(const std::string& customer) override {
    Refresh();
    const Instant now = Time();
    LimitStatus status;
    const auto terms = TermsOfCustomer(customer, now);
    if (!terms.has_value()) return status;
    const CustomerConfig& config = table_->Document().customers.at(customer);
    status.limited = true;
    status.rate_per_s = config.rate_per_s;
    status.burst = config.burst;
    status.domain_rate = terms->current.rate;
    status.domain_capacity = terms->current.capacity;
    status.used_here = holder_.UsedInWindow(customer, now);
    status.tight = holder_.IsTight(customer);
    status.coordinator = coordinator_instance_;
    status.daemons = daemons_;
    if (holder_.InContact(now)) status.contact_age = now - *holder_.ContactAt();
    if (coordinator_instance_ != config_.identity.instance) return status;
    status.daemons_heard = coordinator_.Heard(now);
    if (const auto state = coordinator_.StateOf(customer, now)) {
      status.level = state->level;
      status.used_in_domain = state->used;
      status.outstanding = state->outstanding;
    }
    return status;
  }

  bool OnPeerMessage(const std::string& from, const ReturnPath& path,
                     const wire::Envelope& message, Instant) override {
    if (message.body_case() == wire::Envelope::kLimitReport) {
      OnReport({from, path}, message);
      return true;
    }
    if (message.body_case() == wire::Envelope::kLimitGrant) {
      holder_.OnGrant(message.instance(), message.incarnation(),
                      message.limit_grant(), Time());
      return true;
    }
    return false;
  }

  void OnTick(Instant) override {
    Refresh();
    if (!limited_) return;
    const Instant now = Time();
    AvoidSilent(now);
    if (coordinator_instance_.empty()) return;
    const auto report = holder_.Report(coordinator_instance_, now);
    if (!report.has_value()) return;
    const PeerIdentity& self = config_.identity;
    if (coordinator_instance_ == self.instance) {
      const wire::LimitGrant answer = coordinator_.OnReport(
          self.instance, self.incarnation, *report, daemons_, now);
      holder_.OnGrant(self.instance, self.incarnation, answer, now);
      SpreadChanges();
      return;
    }
    wire::Envelope message;
    *message.mutable_limit_report() = *report;
    NameSender(config_.identity, message);
    CountSent(message);
    // A report that gets lost is followed by one with the same counts.
    parts_.transport.Send(coordinator_address_, message);
  }

 private:
  /// Where a daemon that reports can be answered.
  struct Route {
    std::string from;
    ReturnPath path;
  };

  /// Counts pauses of the machine, during which credit runs out.
  Instant Time() const { return Instant(parts_.clock.SinceBoot()); }

  std::optional<LimitTerms> TermsOfCustomer(const std::string& customer,
                                            Instant now) const {
    if (table_ == nullptr) return std::nullopt;
    const auto& customers = table_->Document().customers;
    const auto found = customers.find(customer);
    if (found == customers.end() || found->second.rate_per_s == 0) {
      return std::nullopt;
    }
    return history_.Of(found->second, domains_, now);
  }

  /// Takes over what depends on the route table, when there is another one.
  void Refresh() {
    RouteTablePtr table = parts_.routes.Current();
    if (table == table_) return;
    const RouteTablePtr before = std::exchange(table_, std::move(table));
    const uint32_t domains_before = domains_;
    domains_ = CountDomains();
    if (before != nullptr && table_ != nullptr &&
        (before->VersionNumber() != table_->VersionNumber() ||
         domains_before != domains_)) {
      history_.OnChange(before->Document(), domains_before, table_->Document(),
                        domains_, Time());
    }
    limited_ = table_ != nullptr &&
               std::ranges::any_of(
                   table_->Document().customers,
                   [](const auto& item) { return item.second.rate_per_s > 0; });
    if (!limited_) return;
    const std::vector<DomainDaemon>& daemons =
        table_->DaemonsOf(config_.identity.failure_domain);
    daemons_ = static_cast<uint32_t>(std::max<size_t>(1, daemons.size()));
    Choose(Time());
  }

  uint32_t CountDomains() const {
    const size_t known =
        table_ == nullptr ? 0 : table_->FailureDomains().size();
    const size_t domains = config_.failure_domains.empty()
                               ? known
                               : config_.failure_domains.size();
    return static_cast<uint32_t>(std::max<size_t>(1, domains));
  }

  /// Chooses the coordinator among those that aren't avoided.
  void Choose(Instant now) {
    std::vector<DomainDaemon> daemons =
        table_->DaemonsOf(config_.identity.failure_domain);
    std::erase_if(avoided_until_,
                  [now](const auto& item) { return item.second <= now; });
    std::erase_if(daemons, [this](const DomainDaemon& daemon) {
      return avoided_until_.contains(daemon.instance);
    });
    const DomainDaemon* chosen = ChooseCoordinator(daemons, kMatter);
    const std::string instance = chosen == nullptr ? "" : chosen->instance;
    coordinator_address_ = chosen == nullptr ? "" : chosen->request_address;
    if (instance == coordinator_instance_) return;
    coordinator_instance_ = instance;
    chosen_at_ = now;
  }

  /// Turns to the next coordinator when this one is silent. Two at once do no
  /// harm: each holds a part for the daemons that it hears.
  void AvoidSilent(Instant now) {
    const bool expired = std::ranges::any_of(
        avoided_until_, [now](const auto& item) { return item.second <= now; });
    const bool silent = !coordinator_instance_.empty() &&
                        !holder_.InContact(now) &&
                        now - chosen_at_ >= kSilentTime;
    if (silent) {
      avoided_until_[coordinator_instance_] = now + kAvoidTime;
      Log(LogLevel::kInfo, "limits", "A coordinator of limits is silent.",
          {{"coordinator", coordinator_instance_}});
    }
    if (silent || expired) Choose(now);
  }

  void OnReport(const Route& route, const wire::Envelope& message) {
    Refresh();
    // Another domain's daemon would be given this one's share.
    if (message.failure_domain() != config_.identity.failure_domain) return;
    wire::Envelope answer;
    *answer.mutable_limit_grant() =
        coordinator_.OnReport(message.instance(), message.incarnation(),
                              message.limit_report(), daemons_, Time());
    routes_to_[message.instance()] = route;
    Send(route, answer);
    SpreadChanges();
  }

  /// Tells all daemons of the domain when a customer has reached its limit.
  void SpreadChanges() {
    bool tight = false;
    for (const TightChange& change : coordinator_.TakeChanges()) {
      tight = tight || change.tight;
      if (change.tight) {
        Log(LogLevel::kInfo, "limits", "A customer has reached its limit.",
            {{"customer", change.customer}});
      } else {
        Log(LogLevel::kInfo, "limits", "A customer is below its limit again.",
            {{"customer", change.customer}});
      }
    }
    if (!tight) return;
    const wire::LimitGrant notice = coordinator_.Notice();
    holder_.OnGrant(config_.identity.instance, config_.identity.incarnation,
                    notice, Time());
    std::erase_if(routes_to_, [&](const auto& item) {
      wire::Envelope message;
      *message.mutable_limit_grant() = notice;
      return !Send(item.second, message);
    });
  }

  /// @return whether the daemon could be reached.
  bool Send(const Route& route, wire::Envelope& message) {
    NameSender(config_.identity, message);
    CountSent(message);
    const std::error_code error =
        route.from.empty() ? parts_.transport.Reply(route.path, message)
                           : parts_.transport.Send(route.from, message);
    return !error;
  }

  void CountSent(const wire::Envelope& message) {
    parts_.metrics.CounterOf("limit_sent_bytes_total", "")
        .Add(message.ByteSizeLong());
  }

  CustomerLimitsConfig config_;
  CustomerLimitsParts parts_;
  TermsHistory history_;
  LimitHolder holder_;
  LimitCoordinator coordinator_;
  RouteTablePtr table_;
  bool limited_ = false;  ///< Whether any customer has a limit.
  uint32_t domains_ = 1;
  uint32_t daemons_ = 1;
  std::string coordinator_instance_;
  std::string coordinator_address_;
  Instant chosen_at_;
  std::map<std::string, Instant> avoided_until_;  ///< By silent instance.
  std::map<std::string, Route> routes_to_;        ///< By reporting instance.
};

}  // namespace

std::unique_ptr<CustomerLimits> MakeCustomerLimits(
    const CustomerLimitsConfig& config, const CustomerLimitsParts& parts) {
  return std::make_unique<CustomerLimitsImpl>(config, parts);
}

CustomerLimits& NoCustomerLimits() {
  static NoLimits limits;
  return limits;
}

}  // namespace hibiscusglade
