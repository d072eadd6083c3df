#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "admission/admission.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

constexpr uint32_t kSlots = 6;
constexpr uint32_t kReservedForShort = 2;
constexpr uint32_t kMaxArchives = 3;
constexpr uint32_t kMaxQueue = 5;
constexpr milliseconds kMaxWait{50};

/// Checks what must hold after any sequence of admission decisions: requests
/// are admitted or refused once, and slots, reservations and queue limits are
/// kept.
class InvariantChecker {
 public:
  void OnRequest(SlotRequestId id, const std::string& request_class,
                 Instant now) {
    open_[id] = {request_class, now};
  }

  void OnEffects(const AdmissionEffects& effects) {
    for (SlotRequestId id : effects.admitted) {
      RC_ASSERT(open_.contains(id) && !running_.contains(id));
      running_.insert(id);
    }
    for (const SlotRefusal& refusal : effects.refused) {
      RC_ASSERT(open_.contains(refusal.id));
      RC_ASSERT(!running_.contains(refusal.id));
      open_.erase(refusal.id);
    }
    CheckSlots();
  }

  void OnRemoved(SlotRequestId id) {
    open_.erase(id);
    running_.erase(id);
  }

  /// No request stays queued beyond its longest wait, or while a slot reserved
  /// for its class is free.
  void CheckQueued(Instant now) const {
    size_t queued = 0;
    for (const auto& [id, request] : open_) {
      if (running_.contains(id)) continue;
      ++queued;
      RC_ASSERT(now < request.since + kMaxWait);
      RC_ASSERT(request.request_class != "short" ||
                RunningOf("short") >= kReservedForShort);
    }
    RC_ASSERT(queued <= kMaxQueue);
  }

  std::vector<SlotRequestId> OpenIds() const {
    std::vector<SlotRequestId> ids;
    for (const auto& [id, request] : open_) ids.push_back(id);
    return ids;
  }

  bool Runs(SlotRequestId id) const { return running_.contains(id); }

 private:
  struct Request {
    std::string request_class;
    Instant since;
  };

  size_t RunningOf(const std::string& name) const {
    return static_cast<size_t>(std::count_if(
        running_.begin(), running_.end(),
        [&](SlotRequestId id) { return open_.at(id).request_class == name; }));
  }

  void CheckSlots() const {
    RC_ASSERT(running_.size() <= kSlots);
    RC_ASSERT(RunningOf("archive") <= kMaxArchives);
    RC_ASSERT(running_.size() - RunningOf("short") <=
              kSlots - kReservedForShort);
  }

  std::map<SlotRequestId, Request> open_;
  std::set<SlotRequestId> running_;
};

AdmissionConfig ConfigUnderTest() {
  AdmissionConfig config;
  config.slots = kSlots;
  config.max_queue = kMaxQueue;
  config.classes["short"] = {"short", 34, 100, kMaxWait, 9};
  config.classes["usual"] = {"usual", 0, 100, kMaxWait, 5};
  config.classes["archive"] = {"archive", 0, 50, kMaxWait, 1};
  return config;
}

RC_GTEST_PROP(AnyAdmission, KeepsSlotsReservationsAndLimits, ()) {
  const std::vector<std::string> classes = {"short", "usual", "archive"};
  auto admission = MakeAdmission();
  InvariantChecker checker;
  Instant now{std::chrono::seconds(1000)};
  admission->Configure(ConfigUnderTest(), now);
  SlotRequestId last = 0;
  const auto steps =
      *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1000));
  for (int step : steps) {
    now += milliseconds(step % 7);
    const std::vector<SlotRequestId> open = checker.OpenIds();
    if (step % 10 < 6) {
      const std::string& name = classes[static_cast<size_t>(step / 10 % 3)];
      checker.OnRequest(++last, name, now);
      SlotRequest request{last,
                          name,
                          std::to_string(step % 2),
                          now + milliseconds(10 + step % 400),
                          {}};
      if (step % 4 > 0) request.customer = std::to_string(step % 4);
      if (step % 11 == 0) request.priority = 7;
      request.begun = step % 13 == 0;
      checker.OnEffects(admission->OnRequest(request, now));
    } else if (!open.empty()) {
      const SlotRequestId id = open[static_cast<size_t>(step) % open.size()];
      if (checker.Runs(id)) {
        checker.OnRemoved(id);
        checker.OnEffects(
            admission->OnFinished(id, milliseconds(step % 90), now));
      } else {
        RC_ASSERT(admission->CancelQueued(id));
        checker.OnRemoved(id);
      }
    }
    checker.OnEffects(admission->OnTick(now));
    checker.CheckQueued(now);
  }
  checker.OnEffects(admission->Drain(now));
  for (SlotRequestId id : checker.OpenIds()) RC_ASSERT(checker.Runs(id));
}

}  // namespace
}  // namespace hibiscusglade
