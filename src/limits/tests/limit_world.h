#ifndef HIBISCUSGLADE_LIMITS_TESTS_LIMIT_WORLD_H_
#define HIBISCUSGLADE_LIMITS_TESTS_LIMIT_WORLD_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "limits/internal/limit_coordinator.h"
#include "limits/internal/limit_holder.h"
#include "limits/internal/terms_history.h"

namespace hibiscusglade {

using namespace std::chrono_literals;

/// Requests of one customer.
struct CustomerLoad {
  CustomerConfig config;
  /// @return requests per second through all daemons.
  std::function<double(Duration)> rate;
  uint32_t through = 0;  ///< The first daemons only; 0: all.
  double not_run = 0;    ///< Part that owners refuse as not run.
};

struct WorldShape {
  uint32_t domains = 3;
  uint32_t daemons = 22;  ///< Of each domain.
  double loss = 0;        ///< Of messages.
  Duration delay = 15ms;  ///< Longest of a message.
  uint64_t seed = 1;
};

/// All daemons of a mesh, without a network, by steps of 10 ms.
class LimitWorld {
 public:
  struct Outcome {
    std::vector<Duration> ran;  ///< When they passed.
    uint64_t refused = 0;
    uint64_t refused_alone = 0;  ///< Of these, on a safe share.
  };

  LimitWorld(const WorldShape& shape, std::vector<CustomerLoad> loads)
      : shape_(shape), loads_(std::move(loads)), random_(shape.seed) {
    for (const CustomerLoad& load : loads_) {
      document_.customers[load.config.name] = load.config;
      limits_.push_back({{Duration{}, load.config}});
    }
    for (uint32_t i = 0; i < shape.domains * shape.daemons; ++i) {
      daemons_.emplace_back();
      Start(i);
    }
    outcomes_.resize(loads_.size());
  }

  void RunUntil(Duration end) {
    for (; now_ < end; now_ += 10ms) Step();
  }

  /// A daemon's process is lost; another one begins after a while.
  void Kill(uint32_t daemon, Duration for_time) {
    daemons_[daemon].away_until = now_ + for_time;
    daemons_[daemon].killed = true;
    daemons_[daemon].away_since = now_;
  }

  /// A daemon is frozen; messages wait for it.
  void Freeze(uint32_t daemon, Duration for_time) {
    if (Away(daemon)) return;
    daemons_[daemon].away_until = now_ + for_time;
    daemons_[daemon].away_since = now_;
  }

  /// No message reaches a daemon or leaves it.
  void Cut(uint32_t daemon, Duration for_time) {
    daemons_[daemon].cut_until = now_ + for_time;
  }

  /// A version changes a customer's limit.
  /// @param spread longest time until a daemon has the version.
  void SetLimit(size_t load, uint32_t rate, uint32_t burst,
                Duration spread = {}) {
    CustomerConfig& config = loads_[load].config;
    config.rate_per_s = rate;
    config.burst = burst;
    limits_[load].push_back({now_, config});
    document_.customers[config.name] = config;
    Publish(spread);
  }

  /// A version has a customer no more; SetLimit() brings it back.
  void RemoveCustomer(size_t load) {
    document_.customers.erase(loads_[load].config.name);
    Publish({});
  }

  /// @return the instance that most daemons of a domain take for coordinator.
  uint32_t CoordinatorOf(uint32_t domain) const {
    return Coordinator(domain * shape_.daemons + shape_.daemons - 1);
  }

  const Outcome& OutcomeOf(size_t load) const { return outcomes_[load]; }
  Duration Now() const { return now_; }

  /// @return bytes of all messages, per second and daemon.
  double BytesPerSecond() const {
    return static_cast<double>(bytes_) /
           std::chrono::duration<double>(now_).count() /
           static_cast<double>(daemons_.size());
  }

  /// @param spread longest time until a daemon had a version.
  /// @return the fullest window, as a part of what the loosest limit allows
  /// that was in force at any daemon during it.
  double FullestWindow(size_t load, Duration spread) const {
    const std::vector<Duration>& ran = outcomes_[load].ran;
    size_t first = 0;
    double fullest = 0;
    for (size_t last = 0; last < ran.size(); ++last) {
      while (ran[last] - ran[first] > 5s) ++first;
      const double bound =
          BoundBetween(load, ran[first] - spread - WindowUse::kSlot, ran[last]);
      fullest =
          std::max(fullest, static_cast<double>(last - first + 1) / bound);
    }
    return fullest;
  }

  /// @return the most requests that ran in a window of 5 s from a time on.
  uint64_t WorstWindow(size_t load, Duration from = {}) const {
    const std::vector<Duration>& ran = outcomes_[load].ran;
    uint64_t worst = 0;
    auto first = std::ranges::lower_bound(ran, from);
    for (auto last = first; last != ran.end(); ++last) {
      while (*last - *first > 5s) ++first;
      worst =
          std::max<uint64_t>(worst, static_cast<uint64_t>(last - first) + 1);
    }
    return worst;
  }

  /// @return requests that may run in a window.
  static double Bound(const CustomerConfig& customer) {
    if (customer.rate_per_s == 0) return 1e9;
    return (customer.rate_per_s * 5.0 + customer.burst) * 1.1 + 20;
  }

 private:
  struct Daemon {
    std::unique_ptr<LimitHolder> holder;
    std::unique_ptr<LimitCoordinator> coordinator;
    uint64_t incarnation = 0;
    Duration away_since{};
    Duration away_until{};
    Duration cut_until{};
    bool killed = false;
    ConfigDocument known;  ///< In force at this daemon.
    TermsHistory history;
    /// Versions that it doesn't have yet, by the time at which it gets them.
    std::map<Duration, ConfigDocument> coming;
  };
  struct LimitInForce {
    Duration from;
    CustomerConfig config;
  };
  struct Message {
    Duration due;
    uint32_t from = 0;
    uint32_t to = 0;
    uint64_t incarnation = 0;     ///< Of the sender.
    uint64_t to_incarnation = 0;  ///< A connection ends with its process.
    std::function<void(const Message&)> deliver;
  };

  Instant Time() const { return Instant(1000s + now_); }
  bool Away(uint32_t i) const { return now_ < daemons_[i].away_until; }

  static std::string NameOf(uint32_t i) { return "d" + std::to_string(i); }

  double BoundBetween(size_t load, Duration from, Duration to) const {
    double bound = 0;
    const std::vector<LimitInForce>& limits = limits_[load];
    for (size_t i = 0; i < limits.size(); ++i) {
      const bool ended = i + 1 < limits.size() && limits[i + 1].from <= from;
      if (!ended && limits[i].from <= to) {
        bound = std::max(bound, Bound(limits[i].config));
      }
    }
    return bound;
  }

  void Publish(Duration spread) {
    for (Daemon& daemon : daemons_) {
      const uint64_t delay =
          spread == Duration{}
              ? 0
              : random_.Below(static_cast<uint64_t>(spread.count()));
      Duration at = now_ + Duration(static_cast<int64_t>(delay));
      if (!daemon.coming.empty()) {
        at = std::max(at, daemon.coming.rbegin()->first);
      }
      daemon.coming[at] = document_;
      Learn(daemon);
    }
  }

  void Learn(Daemon& daemon) {
    while (!daemon.coming.empty() && daemon.coming.begin()->first <= now_) {
      ConfigDocument next = std::move(daemon.coming.begin()->second);
      daemon.coming.erase(daemon.coming.begin());
      daemon.history.OnChange(daemon.known, shape_.domains, next,
                              shape_.domains, Time());
      daemon.known = std::move(next);
    }
  }

  /// @return a customer's terms at a daemon; nullopt when it has no limit.
  std::optional<LimitTerms> TermsAt(const Daemon& daemon,
                                    const std::string& customer) const {
    const auto found = daemon.known.customers.find(customer);
    if (found == daemon.known.customers.end() ||
        found->second.rate_per_s == 0) {
      return std::nullopt;
    }
    return daemon.history.Of(found->second, shape_.domains, Time());
  }

  void Start(uint32_t i) {
    daemons_[i].known = document_;
    daemons_[i].history = {};
    daemons_[i].coming.clear();
    daemons_[i].holder = std::make_unique<LimitHolder>(NameOf(i));
    daemons_[i].coordinator =
        std::make_unique<LimitCoordinator>([this, i](const std::string& name) {
          return TermsAt(daemons_[i], name);
        });
    ++daemons_[i].incarnation;
    daemons_[i].killed = false;
  }

  /// The first daemon of its domain that hasn't been away for a second or two;
  /// each daemon notices at another time.
  uint32_t Coordinator(uint32_t viewer) const {
    const uint32_t first = viewer / shape_.daemons * shape_.daemons;
    for (uint32_t i = first; i < first + shape_.daemons; ++i) {
      const Duration notice = 1s + viewer % 10 * 100ms;
      if (!Away(i) || now_ - daemons_[i].away_since < notice) return i;
    }
    return first;
  }

  void Step() {
    for (uint32_t i = 0; i < daemons_.size(); ++i) {
      if (daemons_[i].killed && !Away(i)) Start(i);
      if (!Away(i)) Learn(daemons_[i]);
    }
    std::vector<Message> due;
    std::erase_if(messages_, [&](Message& message) {
      if (message.due > now_) return false;
      if (daemons_[message.to].killed ||
          message.to_incarnation != daemons_[message.to].incarnation) {
        return true;
      }
      if (Away(message.to)) return false;
      due.push_back(std::move(message));
      return true;
    });
    for (const Message& message : due) message.deliver(message);
    for (size_t load = 0; load < loads_.size(); ++load) Arrive(load);
    for (uint32_t i = 0; i < daemons_.size(); ++i) Tick(i);
  }

  void Arrive(size_t load) {
    const uint32_t through = loads_[load].through != 0
                                 ? loads_[load].through
                                 : static_cast<uint32_t>(daemons_.size());
    const double mean = loads_[load].rate(now_) / 100;
    // Poisson by exponential gaps.
    for (double at = Gap(); at < mean; at += Gap()) {
      const auto i = static_cast<uint32_t>(random_.Below(through));
      // Spread over domains, also when few daemons are used.
      const uint32_t daemon =
          i % shape_.domains * shape_.daemons + i / shape_.domains;
      if (!Away(daemon)) Request(load, daemon);
    }
  }

  double Gap() { return -std::log(1 - random_.Fraction()); }

  void Request(size_t load, uint32_t daemon) {
    const CustomerConfig& config = loads_[load].config;
    LimitHolder& holder = *daemons_[daemon].holder;
    Outcome& outcome = outcomes_[load];
    if (!daemons_[daemon].known.customers.contains(config.name)) return;
    const auto terms = TermsAt(daemons_[daemon], config.name);
    if (!terms.has_value()) {
      outcome.ran.push_back(now_);
      return;
    }
    const LimitVerdict verdict =
        holder.Take(config.name, *terms, shape_.daemons, Time());
    if (verdict >= LimitVerdict::kOver) {
      ++outcome.refused;
      if (verdict == LimitVerdict::kAloneOver) ++outcome.refused_alone;
    } else if (random_.Fraction() < loads_[load].not_run) {
      holder.GiveBack(config.name, Time(), Time());
    } else {
      outcome.ran.push_back(now_);
    }
  }

  void Tick(uint32_t i) {
    if (Away(i)) return;
    const uint32_t to = Coordinator(i);
    auto report = daemons_[i].holder->Report(NameOf(to), Time());
    if (report.has_value()) {
      Send(i, to, report->ByteSizeLong(), [this, report](const Message& sent) {
        wire::LimitGrant answer = daemons_[sent.to].coordinator->OnReport(
            NameOf(sent.from), sent.incarnation, *report, shape_.daemons,
            Time());
        SendGrant(sent.to, sent.from, std::move(answer));
      });
    }
    const auto changes = daemons_[i].coordinator->TakeChanges();
    if (std::ranges::none_of(changes, &TightChange::tight)) return;
    const uint32_t first = i / shape_.daemons * shape_.daemons;
    for (uint32_t peer = first; peer < first + shape_.daemons; ++peer) {
      SendGrant(i, peer, daemons_[i].coordinator->Notice());
    }
  }

  void SendGrant(uint32_t from, uint32_t to, wire::LimitGrant grant) {
    const size_t bytes = grant.ByteSizeLong();
    Send(from, to, bytes, [this, grant](const Message& sent) {
      daemons_[sent.to].holder->OnGrant(NameOf(sent.from), sent.incarnation,
                                        grant, Time());
    });
  }

  void Send(uint32_t from, uint32_t to, size_t bytes,
            std::function<void(const Message&)> deliver) {
    constexpr size_t kEnvelopeBytes = 60;
    if (from != to) {
      bytes_ += bytes + kEnvelopeBytes;
      if (now_ < daemons_[from].cut_until || now_ < daemons_[to].cut_until ||
          random_.Fraction() < shape_.loss) {
        return;
      }
    }
    const auto delay = static_cast<int64_t>(
        random_.Below(static_cast<uint64_t>(shape_.delay.count())));
    messages_.push_back({now_ + Duration(from == to ? 0 : delay), from, to,
                         daemons_[from].incarnation, daemons_[to].incarnation,
                         std::move(deliver)});
  }

  WorldShape shape_;
  std::vector<CustomerLoad> loads_;
  Random random_;
  std::vector<Daemon> daemons_;
  std::vector<Message> messages_;
  std::vector<Outcome> outcomes_;
  ConfigDocument document_;                        ///< Of the latest version.
  std::vector<std::vector<LimitInForce>> limits_;  ///< Of each load.
  Duration now_{};
  uint64_t bytes_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_LIMITS_TESTS_LIMIT_WORLD_H_
