#ifndef HIBISCUSGLADE_ADMISSION_INTERNAL_SLOT_ORDER_H_
#define HIBISCUSGLADE_ADMISSION_INTERNAL_SLOT_ORDER_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "admission/admission.h"
#include "admission/internal/customer_turns.h"
#include "admission/internal/floor_shares.h"
#include "admission/internal/service_estimate.h"

namespace hibiscusglade {

struct QueuedRequest {
  SlotRequest request;
  Instant latest_start;  ///< Refused when not started by then.
};

using SlotQueue = std::list<QueuedRequest>;  ///< Oldest first.

/// Decides in which order queued requests get slots and which one gives way: by
/// rank, then short classes first, then customers in turns.
class SlotOrder {
 public:
  using Classes = std::map<std::string, ClassConfig>;
  using Estimates = std::map<std::string, ServiceEstimate>;

  /// Both must outlive this object.
  SlotOrder(const Classes& classes, const Estimates& estimates)
      : classes_(classes), estimates_(estimates) {}

  /// A request may run or queue.
  void OnAsked(const SlotRequest& request, Instant now);

  /// A request got a slot.
  /// @param queue what waits now, without the request.
  void OnStarted(const SlotRequest& request, const SlotQueue& queue);

  /// @param of_class whether only requests of its class count.
  /// @return the number of queued requests that get slots before a new one.
  int64_t QueuedAhead(const SlotRequest& request, const SlotQueue& queue,
                      bool of_class) const;

  /// @param may_run whether a request of a class may take a slot now.
  /// @return the next request to start; end() if none may.
  SlotQueue::iterator Next(
      SlotQueue& queue,
      const std::function<bool(const std::string&)>& may_run) const;

  /// @return the request that gives way to a new one when the queue is full:
  /// the newest of the lowest rank below the new one's, else the newest of the
  /// customer, or caller, with most queued in the same class if that makes
  /// shares more equal; end() if none does.
  SlotQueue::iterator VictimFor(const SlotRequest& request,
                                SlotQueue& queue) const;

  /// @return the last in turn of the customers whose requests are of the class
  /// and priority of `request`; end() if that one names no customer.
  SlotQueue::iterator LastInTurn(const SlotRequest& request,
                                 SlotQueue& queue) const;

 private:
  /// First those whose class and priority get too little; then calls of work
  /// that has begun, which would else be done in vain; then by priority.
  struct Rank {
    bool below_floor = false;
    bool begun = false;
    uint32_t priority = 0;

    friend auto operator<=>(const Rank&, const Rank&) = default;
  };

  Rank RankOf(const SlotRequest& request) const;
  uint32_t PriorityOf(const SlotRequest& request) const;
  bool IsShorter(const std::string& a, const std::string& b) const;
  bool PrecedesInRank(const SlotRequest& a, const SlotRequest& b) const;
  bool OvertakesQueued(const SlotRequest& request, const Rank& rank,
                       const SlotRequest& queued) const;
  bool TakeTurns(const SlotRequest& a, const SlotRequest& b) const;
  uint64_t RoundOf(const SlotRequest& request) const;
  SlotQueue::iterator NewestOfBusiest(const SlotRequest& request,
                                      SlotQueue& queue) const;

  const Classes& classes_;
  const Estimates& estimates_;
  FloorShares floor_;
  /// By class and priority.
  std::map<std::string, std::map<uint32_t, CustomerTurns>> turns_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ADMISSION_INTERNAL_SLOT_ORDER_H_
