#ifndef HIBISCUSGLADE_LIMITS_INTERNAL_LIMIT_COORDINATOR_H_
#define HIBISCUSGLADE_LIMITS_INTERNAL_LIMIT_COORDINATOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "limits/internal/limit_terms.h"
#include "limits/internal/window_use.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {

/// @return the terms of a customer; nullopt when it has no limit.
using TermsLookup =
    std::function<std::optional<LimitTerms>(const std::string& customer)>;

/// What a coordinator knows of a customer.
struct CoordinatedLimit {
  double level = 0;          ///< Requests that may still pass at once.
  uint64_t used = 0;         ///< In the window.
  uint64_t outstanding = 0;  ///< Credit that is not used yet.
  bool tight = false;

  friend bool operator==(const CoordinatedLimit&,
                         const CoordinatedLimit&) = default;
};

/// A customer reached its limit or left it.
struct TightChange {
  std::string customer;
  bool tight = false;

  friend bool operator==(const TightChange&, const TightChange&) = default;
};

/// Keeps a failure domain's share of all limits. Answers the load pattern of a
/// customer that suddenly sends many times its usual through all daemons: while
/// it is far below its limit its daemons run on credit in proportion to their
/// demand; near it they get what is left, and what ran too early is a debt.
/// Never gives more credit than is left and not given out, apart from
/// DomainTerms::FreeCredit. Time must count pauses of the machine.
/// Deterministic; no I/O.
class LimitCoordinator {
 public:
  explicit LimitCoordinator(TermsLookup terms) : terms_(std::move(terms)) {}

  /// @param sender instance and incarnation of the reporting daemon.
  /// @param daemons of the failure domain.
  /// @return the answer.
  wire::LimitGrant OnReport(const std::string& instance, uint64_t incarnation,
                            const wire::LimitReport& report, uint32_t daemons,
                            Instant now);

  /// @return changes since the last call. When a customer became tight, all
  /// daemons must hear of it at once.
  std::vector<TightChange> TakeChanges();

  /// @return a message that tells a daemon which customers are tight.
  wire::LimitGrant Notice() const;

  /// @return the state of a customer; nullopt when it sent nothing lately.
  std::optional<CoordinatedLimit> StateOf(const std::string& customer,
                                          Instant now);

  /// @return daemons heard from lately.
  uint32_t Heard(Instant now) const;

 private:
  struct Sender {
    uint64_t incarnation = 0;
    uint32_t number = 0;
    Instant heard;
  };
  /// One daemon's use of a customer's limit.
  struct Account {
    uint64_t passed = 0;
    uint64_t given_back = 0;
    uint32_t credit = 0;
    double demand = 0;  ///< Requests per second, refused ones included.
    Instant at;
  };
  struct Customer {
    std::map<uint32_t, Account> accounts;  ///< By number of the sender.
    WindowUse use;
    LimitTerms terms;
    bool tight = false;
  };

  void Hear(Sender& sender, const wire::LimitReport& report, Instant now);
  wire::LimitGrant::Room OnUse(const Sender& sender, bool history,
                               const wire::LimitReport::Use& use, Instant now);
  static void Count(Customer& customer, Account& account, bool is_new,
                    bool history, const wire::LimitReport::Use& use,
                    Instant now);
  static void SetCredit(Customer& customer, Account& account, double level,
                        Instant now);
  double LevelOf(Customer& customer, Instant now);
  double HeardPart(Instant now) const;
  void UpdateTight(const std::string& name, Customer& customer, double level);
  void Prune(Instant now);

  TermsLookup terms_;
  std::map<std::string, Sender> senders_;
  std::map<std::string, Customer> customers_;
  std::vector<TightChange> changes_;
  uint32_t daemons_ = 1;
  uint32_t last_number_ = 0;
  std::optional<Instant> last_report_;
  Instant began_;  ///< Of the time since which reports arrive.
  Instant pruned_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_LIMITS_INTERNAL_LIMIT_COORDINATOR_H_
