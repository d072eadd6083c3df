#ifndef HIBISCUSGLADE_LIMITS_INTERNAL_LIMIT_HOLDER_H_
#define HIBISCUSGLADE_LIMITS_INTERNAL_LIMIT_HOLDER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/random.h"
#include "limits/internal/limit_terms.h"
#include "limits/internal/window_use.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {

/// How a request was judged.
enum class LimitVerdict {
  kFree,      ///< Passed; the customer is far below its limit.
  kCredit,    ///< Passed on credit.
  kAlone,     ///< Passed on the daemon's safe share.
  kOver,      ///< Refused; the customer has reached its limit.
  kUnacked,   ///< Refused; too many passed that aren't acknowledged yet.
  kAloneOver  ///< Refused; the daemon's safe share is used up.
};

/// One daemon's side of the limits. Answers the load pattern of many daemons
/// through each of which a customer sends a little: none of them may ask
/// before each request. Requests pass at once, up to a credit beyond what the
/// coordinator has acknowledged; without its word, within a safe share. Time
/// must count pauses of the machine. Deterministic; no I/O.
class LimitHolder {
 public:
  /// @param instance name of this daemon.
  explicit LimitHolder(const std::string& instance);

  /// Judges and counts a request.
  /// @param daemons of the failure domain.
  LimitVerdict Take(const std::string& customer, const LimitTerms& terms,
                    uint32_t daemons, Instant now);

  /// A request was not run.
  /// @param passed_at when it passed.
  void GiveBack(const std::string& customer, Instant passed_at, Instant now);

  /// @return time after which the customer has room here, different for each
  /// refused request.
  Duration RetryAfter(const std::string& customer, const LimitTerms& terms,
                      uint32_t daemons, Instant now);

  /// @param coordinator instance that coordinates the limits.
  /// @return the report that is due now, if any.
  std::optional<wire::LimitReport> Report(const std::string& coordinator,
                                          Instant now);

  /// @param sender instance and incarnation of a coordinator.
  void OnGrant(const std::string& instance, uint64_t incarnation,
               const wire::LimitGrant& grant, Instant now);

  /// @return whether a coordinator answered lately.
  bool InContact(Instant now) const {
    return contact_at_.has_value() && now - *contact_at_ < kContactTime;
  }

  bool IsTight(const std::string& customer) const {
    return tight_.contains(customer);
  }

  /// @return the time of the last report that was answered, if any.
  std::optional<Instant> ContactAt() const { return contact_at_; }

  /// @return requests that passed here in the window.
  uint64_t UsedInWindow(const std::string& customer, Instant now);

 private:
  struct Account {
    uint64_t passed = 0;
    uint64_t given_back = 0;
    /// When the first of those passed that were given back since the last
    /// report that was answered.
    std::optional<Instant> returned_since;
    uint32_t wanted = 0;    ///< Since the last report.
    int64_t acked_net = 0;  ///< By the last answer.
    uint32_t credit = 0;    ///< Beyond it.
    Instant credit_until;
    Duration retry_after{};
    WindowUse use;
    Instant last_wanted;

    int64_t Net() const {
      return static_cast<int64_t>(passed) - static_cast<int64_t>(given_back);
    }
    uint32_t CreditAt(Instant now) const {
      return now < credit_until ? credit : 0;
    }
    bool Changed() const { return Net() != acked_net || wanted > 0; }
  };

  LimitVerdict Judge(const std::string& customer, Account& account,
                     const LimitTerms& terms, uint32_t daemons, Instant now);
  double DiceOf(const std::string& customer) const;
  void Prune(Instant now);

  std::string instance_;
  Random random_;
  std::map<std::string, Account> accounts_;
  std::set<std::string> tight_;
  std::optional<Instant> contact_at_;
  std::string known_to_;  ///< Coordinator that knows this daemon's counts.
  uint64_t known_incarnation_ = 0;
  std::string reported_to_;
  std::optional<Instant> reported_at_;
  bool urgent_ = false;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_LIMITS_INTERNAL_LIMIT_HOLDER_H_
