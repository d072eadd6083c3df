#include "admission/call_trees.h"

#include <gtest/gtest.h>

#include <map>

#include "admission/admission.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

struct Counts {
  int asked = 0;
  int served = 0;
  int in_vain = 0;
};

/// Ten slots of a service for which searches and purchases compete, 100 ms
/// each. A search calls another service at its end and fails when the call is
/// refused.
class AServiceWhoseCallsAreRefused : public testing::Test {
 protected:
  AServiceWhoseCallsAreRefused() {
    AdmissionConfig config{10, 64, {}, {}};
    config.classes["search"] = {"search", 0, 100, milliseconds(200), 5};
    config.classes["purchase"] = {"purchase", 0, 100, milliseconds(200), 5};
    admission_->Configure(config, now_);
  }

  /// Each second 100 searches and 50 purchases come.
  /// @param refuse which of a hundred calls in a row are refused.
  void Play(Duration length, int refuse) {
    counts_.clear();
    const Instant end = now_ + length;
    for (; now_ < end; now_ += milliseconds(1)) {
      while (!ends_.empty() && ends_.begin()->first <= now_) End(refuse);
      Apply(admission_->OnTick(now_));
      const auto ms = now_.time_since_epoch() / milliseconds(1);
      if (ms % 10 == 0) Ask("search");
      if (ms % 20 == 5) Ask("purchase");
    }
  }

  void Ask(const std::string& request_class) {
    ++counts_[request_class].asked;
    const LoadReport load = admission_->Load(request_class);
    const bool full = load.running >= load.slots;
    if (full && trees_->RefuseNew(request_class, now_).has_value()) return;
    runs_[++last_] = {request_class, {}};
    Apply(admission_->OnRequest(
        {last_, request_class, "caller", now_ + milliseconds(2000),
         now_ + milliseconds(300)},
        now_));
  }

  void Apply(const AdmissionEffects& effects) {
    for (SlotRequestId id : effects.admitted) {
      runs_[id].second = now_;
      ends_.emplace(now_ + milliseconds(100), id);
    }
  }

  void End(int refuse) {
    const SlotRequestId id = ends_.begin()->second;
    ends_.erase(ends_.begin());
    const auto [request_class, started] = runs_[id];
    const bool refused =
        request_class == "search" && ++calls_ * 37 % 100 < refuse;
    if (refused) trees_->OnCallRefused(now_);
    trees_->OnRunEnded(request_class, started, refused, now_);
    Counts& counts = counts_[request_class];
    ++(refused ? counts.in_vain : counts.served);
    Apply(admission_->OnFinished(id, milliseconds(100), now_));
  }

  int Ended() {
    int ended = 0;
    for (const auto& [name, counts] : counts_) {
      ended += counts.served + counts.in_vain;
    }
    return ended;
  }

  Instant now_ = Instant(std::chrono::seconds(1000));
  SlotRequestId last_ = 0;
  int calls_ = 0;
  std::map<SlotRequestId, std::pair<std::string, Instant>> runs_;
  std::multimap<Instant, SlotRequestId> ends_;
  std::map<std::string, Counts> counts_;
  std::unique_ptr<Admission> admission_ = MakeAdmission();
  std::unique_ptr<CallTrees> trees_ = MakeCallTrees();
};

TEST_F(AServiceWhoseCallsAreRefused, GivesItsSlotsToThoseThatNeedNoCall) {
  Play(std::chrono::seconds(2), 60);
  Play(std::chrono::seconds(10), 60);
  // By order of arrival both would get two thirds.
  EXPECT_GT(counts_["purchase"].served, 0.85 * counts_["purchase"].asked);
  EXPECT_LT(counts_["search"].in_vain, 0.33 * counts_["search"].asked);
  // No slot stays free for it.
  EXPECT_GT(Ended(), 0.97 * 10 * 100);
}

TEST_F(AServiceWhoseCallsAreRefused, LetsAQuarterPassThoughAllCallsAreRefused) {
  Play(std::chrono::seconds(5), 100);
  Play(std::chrono::seconds(5), 100);
  EXPECT_GE(counts_["search"].in_vain, 0.2 * counts_["search"].asked);
}

TEST_F(AServiceWhoseCallsAreRefused, TakesAllAgainOnceTheyAreServed) {
  Play(std::chrono::seconds(5), 100);
  Play(std::chrono::seconds(5), 0);
  for (int i = 0; i < 20; ++i) {
    EXPECT_FALSE(trees_->RefuseNew("search", now_).has_value());
  }
}

TEST_F(AServiceWhoseCallsAreRefused, RefusesNothingForFewRefusedCalls) {
  Play(std::chrono::seconds(5), 8);
  EXPECT_FALSE(trees_->RefuseNew("search", now_).has_value());
  EXPECT_FALSE(trees_->RefuseNew("purchase", now_).has_value());
}

TEST_F(AServiceWhoseCallsAreRefused, ForgetsAClassThatNoLongerComes) {
  Play(std::chrono::seconds(5), 100);
  now_ += std::chrono::seconds(5);
  EXPECT_FALSE(trees_->RefuseNew("search", now_).has_value());
}

}  // namespace
}  // namespace hibiscusglade
