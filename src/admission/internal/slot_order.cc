#include "admission/internal/slot_order.h"

#include <algorithm>

namespace hibiscusglade {
namespace {

/// A class takes precedence over one of the same rank when its median service
/// time is shorter by more than this factor.
constexpr int64_t kShorterClassFactor = 2;

/// @return the key of fairness: the customer, else the caller.
const std::string& HolderOf(const SlotRequest& request) {
  return request.customer.empty() ? request.caller : request.customer;
}

}  // namespace

void SlotOrder::OnAsked(const SlotRequest& request, Instant now) {
  floor_.OnAsked(request.request_class, PriorityOf(request), now);
}

void SlotOrder::OnStarted(const SlotRequest& request, const SlotQueue& queue) {
  floor_.OnStarted(request.request_class, PriorityOf(request));
  if (request.customer.empty()) return;
  const bool others_wait =
      std::ranges::any_of(queue, [&](const QueuedRequest& queued) {
        return TakeTurns(request, queued.request);
      });
  if (others_wait) {
    turns_[request.request_class][PriorityOf(request)].OnStarted(
        request.customer);
  } else if (auto found = turns_.find(request.request_class);
             found != turns_.end()) {
    found->second.erase(PriorityOf(request));
    if (found->second.empty()) turns_.erase(found);
  }
}

int64_t SlotOrder::QueuedAhead(const SlotRequest& request,
                               const SlotQueue& queue, bool of_class) const {
  if (queue.empty()) return 0;
  const Rank rank = RankOf(request);
  int64_t ahead = 0;
  uint64_t own = 0;
  // Rounds in which queued requests of other customers are due.
  std::map<std::string, uint64_t> rounds;
  std::vector<uint64_t> others;
  for (const QueuedRequest& queued : queue) {
    const SlotRequest& other = queued.request;
    if (of_class && other.request_class != request.request_class) continue;
    if (OvertakesQueued(request, rank, other)) continue;
    if (!TakeTurns(request, other)) {
      ++ahead;
    } else if (other.customer == request.customer) {
      ++ahead;
      ++own;
    } else {
      auto [found, added] = rounds.try_emplace(other.customer, RoundOf(other));
      others.push_back(found->second++);
    }
  }
  if (others.empty()) return ahead;
  const uint64_t round = RoundOf(request) + own;
  return ahead + std::ranges::count_if(
                     others, [round](uint64_t due) { return due <= round; });
}

SlotQueue::iterator SlotOrder::Next(
    SlotQueue& queue,
    const std::function<bool(const std::string&)>& may_run) const {
  auto best = queue.end();
  Rank best_rank;
  for (auto item = queue.begin(); item != queue.end(); ++item) {
    if (!may_run(item->request.request_class)) continue;
    const Rank rank = RankOf(item->request);
    if (best != queue.end() && rank < best_rank) continue;
    if (best == queue.end() || rank > best_rank ||
        PrecedesInRank(item->request, best->request)) {
      best = item;
      best_rank = rank;
    }
  }
  return best;
}

SlotQueue::iterator SlotOrder::VictimFor(const SlotRequest& request,
                                         SlotQueue& queue) const {
  auto victim = queue.end();
  Rank lowest = RankOf(request);
  for (auto item = queue.begin(); item != queue.end(); ++item) {
    const Rank rank = RankOf(item->request);
    if (rank >= lowest && victim == queue.end()) continue;
    if (rank > lowest) continue;
    victim = item;
    lowest = rank;
  }
  return victim == queue.end() ? NewestOfBusiest(request, queue) : victim;
}

SlotQueue::iterator SlotOrder::LastInTurn(const SlotRequest& request,
                                          SlotQueue& queue) const {
  auto last = queue.end();
  if (request.customer.empty()) return last;
  std::map<std::string, uint64_t> rounds;
  uint64_t latest = 0;
  for (auto item = queue.begin(); item != queue.end(); ++item) {
    if (!TakeTurns(request, item->request)) continue;
    auto [found, added] =
        rounds.try_emplace(item->request.customer, RoundOf(item->request));
    const uint64_t round = found->second++;
    if (last != queue.end() && round < latest) continue;
    last = item;
    latest = round;
  }
  return last;
}

SlotOrder::Rank SlotOrder::RankOf(const SlotRequest& request) const {
  const uint32_t priority = PriorityOf(request);
  return {floor_.IsBelowFloor(request.request_class, priority), request.begun,
          priority};
}

/// @return the priority of the request's customer, else that of its class.
uint32_t SlotOrder::PriorityOf(const SlotRequest& request) const {
  if (request.priority.has_value()) return *request.priority;
  auto found = classes_.find(request.request_class);
  return found == classes_.end() ? 0 : found->second.priority;
}

/// Short requests go first because running requests may be waiting for them,
/// and keep their slots while they wait.
bool SlotOrder::IsShorter(const std::string& a, const std::string& b) const {
  if (a == b) return false;
  auto estimate_a = estimates_.find(a);
  auto estimate_b = estimates_.find(b);
  return estimate_a != estimates_.end() && estimate_b != estimates_.end() &&
         estimate_a->second.Median() * kShorterClassFactor <
             estimate_b->second.Median();
}

/// @return whether request a gets a slot before the older one b of its rank.
bool SlotOrder::PrecedesInRank(const SlotRequest& a,
                               const SlotRequest& b) const {
  if (TakeTurns(a, b)) return RoundOf(a) < RoundOf(b);
  return IsShorter(a.request_class, b.request_class);
}

/// While a class is below its floor, its first request is in front, and is
/// counted as if all of them were not: one start may lift it above.
bool SlotOrder::OvertakesQueued(const SlotRequest& request, const Rank& rank,
                                const SlotRequest& queued) const {
  const Rank without_floor{false, queued.begun, PriorityOf(queued)};
  if (rank != without_floor) return rank > without_floor;
  return IsShorter(request.request_class, queued.request_class);
}

/// @return whether two requests are of customers that take turns.
bool SlotOrder::TakeTurns(const SlotRequest& a, const SlotRequest& b) const {
  return !a.customer.empty() && !b.customer.empty() && a.begun == b.begun &&
         a.request_class == b.request_class && PriorityOf(a) == PriorityOf(b);
}

uint64_t SlotOrder::RoundOf(const SlotRequest& request) const {
  const auto of_class = turns_.find(request.request_class);
  if (of_class == turns_.end()) return 0;
  const auto found = of_class->second.find(PriorityOf(request));
  return found == of_class->second.end()
             ? 0
             : found->second.RoundOf(request.customer);
}

SlotQueue::iterator SlotOrder::NewestOfBusiest(const SlotRequest& request,
                                               SlotQueue& queue) const {
  std::map<std::string, size_t> by_holder;
  for (const QueuedRequest& queued : queue) {
    if (queued.request.request_class == request.request_class) {
      ++by_holder[HolderOf(queued.request)];
    }
  }
  // Counting the new request, its holder must have fewer queued than the one
  // that loses a request.
  size_t most = by_holder[HolderOf(request)] + 1;
  auto victim = queue.end();
  for (auto item = queue.begin(); item != queue.end(); ++item) {
    if (item->request.request_class != request.request_class) continue;
    const size_t count = by_holder[HolderOf(item->request)];
    if (count < most || (count == most && victim == queue.end())) continue;
    most = count;
    victim = item;
  }
  return victim;
}

}  // namespace hibiscusglade
