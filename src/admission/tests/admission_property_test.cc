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
constexpr uint32_t kMostArchives = 3;
constexpr uint32_t kMaxQueue = 5;
constexpr milliseconds kMaxWait{50};

/// What any admission must keep to, whatever it decides.
class Reference {
 public:
  void OnRequest(Ticket ticket, const std::string& request_class, Instant now) {
    open_[ticket] = {request_class, now};
  }

  void OnEffects(const AdmissionEffects& effects) {
    for (Ticket ticket : effects.admitted) {
      RC_ASSERT(open_.contains(ticket) && !running_.contains(ticket));
      running_.insert(ticket);
    }
    for (const SlotRefusal& refusal : effects.refused) {
      RC_ASSERT(open_.contains(refusal.ticket));
      RC_ASSERT(!running_.contains(refusal.ticket));
      open_.erase(refusal.ticket);
    }
    CheckSlots();
  }

  void OnGone(Ticket ticket) {
    open_.erase(ticket);
    running_.erase(ticket);
  }

  /// Nothing waits past its limit, nor next to a slot kept for it.
  void CheckWaiting(Instant now) const {
    size_t waiting = 0;
    for (const auto& [ticket, request] : open_) {
      if (running_.contains(ticket)) continue;
      ++waiting;
      RC_ASSERT(now < request.since + kMaxWait);
      RC_ASSERT(request.request_class != "short" ||
                RunningOf("short") >= kReservedForShort);
    }
    RC_ASSERT(waiting <= kMaxQueue);
  }

  std::vector<Ticket> Open() const {
    std::vector<Ticket> tickets;
    for (const auto& [ticket, request] : open_) tickets.push_back(ticket);
    return tickets;
  }

  bool Runs(Ticket ticket) const { return running_.contains(ticket); }

 private:
  struct Request {
    std::string request_class;
    Instant since;
  };

  size_t RunningOf(const std::string& name) const {
    return static_cast<size_t>(std::count_if(
        running_.begin(), running_.end(),
        [&](Ticket ticket) { return open_.at(ticket).request_class == name; }));
  }

  void CheckSlots() const {
    RC_ASSERT(running_.size() <= kSlots);
    RC_ASSERT(RunningOf("archive") <= kMostArchives);
    RC_ASSERT(running_.size() - RunningOf("short") <=
              kSlots - kReservedForShort);
  }

  std::map<Ticket, Request> open_;
  std::set<Ticket> running_;
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
  Reference reference;
  Instant now{std::chrono::seconds(1000)};
  admission->Configure(ConfigUnderTest(), now);
  Ticket last = 0;
  const auto steps =
      *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 1000));
  for (int step : steps) {
    now += milliseconds(step % 7);
    const std::vector<Ticket> open = reference.Open();
    if (step % 10 < 6) {
      const std::string& name = classes[static_cast<size_t>(step / 10 % 3)];
      reference.OnRequest(++last, name, now);
      reference.OnEffects(
          admission->OnRequest({last,
                                name,
                                std::to_string(step % 2),
                                now + milliseconds(10 + step % 400),
                                {}},
                               now));
    } else if (!open.empty()) {
      const Ticket ticket = open[static_cast<size_t>(step) % open.size()];
      if (reference.Runs(ticket)) {
        reference.OnGone(ticket);
        reference.OnEffects(
            admission->OnFinished(ticket, milliseconds(step % 90), now));
      } else {
        RC_ASSERT(admission->Withdraw(ticket));
        reference.OnGone(ticket);
      }
    }
    reference.OnEffects(admission->OnTick(now));
    reference.CheckWaiting(now);
  }
  reference.OnEffects(admission->Drain(now));
  for (Ticket ticket : reference.Open()) RC_ASSERT(reference.Runs(ticket));
}

}  // namespace
}  // namespace hibiscusglade
