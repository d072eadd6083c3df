#include "routing/upstream_chooser.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The chooser of an entry in failure domain a.
class AnEntryInDomainA : public testing::Test {
 protected:
  /// Creates a service with `own` upstreams in failure domain a, `other` in b.
  void Build(int own, int other) {
    for (int i = 0; i < own + other; ++i) {
      UpstreamTarget target;
      target.instance = (i < own ? "a" : "b") + std::to_string(i);
      target.failure_domain = i < own ? "a" : "b";
      target.slots = 6;
      targets_.push_back(target);
    }
  }

  std::optional<Choice> Choose(const std::set<std::string>& tried = {}) {
    return chooser_->Choose({targets_, "plots", "short", tried, 34}, now_);
  }

  std::optional<Duration> RemainingBackoff() {
    const std::set<std::string> tried;
    return chooser_->RemainingBackoff({targets_, "plots", "short", tried, 34},
                                      now_);
  }

  void Report(const std::string& instance, uint32_t running, uint32_t queued,
              Duration service_time, bool serving = true) {
    chooser_->OnLoad(instance, "short",
                     {running, queued, 6, service_time, serving}, now_);
  }

  /// Reports the median service time of few or many requests.
  void ReportMedian(const std::string& instance, Duration service_time,
                    uint32_t samples) {
    chooser_->OnLoad(instance, "short", {0, 0, 6, service_time, true, samples},
                     now_);
  }

  /// Reports a service time of 100 ms for `slow` and of 10 ms for the others.
  void ReportAll(const std::string& slow) {
    for (const UpstreamTarget& target : targets_) {
      Report(target.instance, 0, 0,
             target.instance == slow ? milliseconds(100) : milliseconds(10));
    }
  }

  void Fail(const std::string& instance) {
    chooser_->OnEnded(instance, AttemptOutcome::kFailed, {}, now_);
  }

  /// @return upstreams ejected so far, after a comparison that is due.
  uint64_t CountEjections() {
    now_ += milliseconds(60);
    Choose();
    return chooser_->Counts().ejections;
  }

  /// Makes several choices.
  /// @return how many of them picked the instance.
  int CountChoicesOf(const std::string& instance, int choices) {
    int hits = 0;
    for (int i = 0; i < choices; ++i) {
      hits += targets_[Choose()->index].instance == instance ? 1 : 0;
    }
    return hits;
  }

  Instant now_ = Instant(seconds(1000));
  std::vector<UpstreamTarget> targets_;
  std::unique_ptr<UpstreamChooser> chooser_ =
      MakeUpstreamChooser({ChoicePolicy::kTwoChoices, true, "entry", "a", 7});
};

TEST_F(AnEntryInDomainA, SpillsOverWhileItsDomainIsSaturatedAndComesBack) {
  Build(2, 2);
  EXPECT_EQ(targets_[Choose()->index].failure_domain, "a");
  for (const char* own : {"a0", "a1"}) Report(own, 6, 12, milliseconds(20));
  EXPECT_EQ(Choose()->reason, ChoiceReason::kSpillOver);
  for (const char* own : {"a0", "a1"}) Report(own, 2, 0, milliseconds(20));
  EXPECT_EQ(Choose()->reason, ChoiceReason::kOwnDomain);
}

TEST_F(AnEntryInDomainA, SpillsOverAfterRefusalsForAMoment) {
  Build(1, 1);
  chooser_->OnRefused("a0", "short", now_);
  EXPECT_EQ(Choose()->reason, ChoiceReason::kSpillOver);
  now_ += milliseconds(300);
  EXPECT_EQ(Choose()->reason, ChoiceReason::kOwnDomain);
}

TEST_F(AnEntryInDomainA, BacksOffLongerAfterEachCapacityRefusal) {
  Build(1, 0);
  chooser_->OnCapacityRefusal("a0", "short", now_);
  EXPECT_TRUE(Choose().has_value());
  chooser_->OnCapacityRefusal("a0", "short", now_);
  EXPECT_FALSE(Choose().has_value());
  EXPECT_EQ(RemainingBackoff(), milliseconds(5));
  for (int i = 0; i < 10; ++i) chooser_->OnCapacityRefusal("a0", "short", now_);
  EXPECT_EQ(RemainingBackoff(), milliseconds(40));
  now_ += milliseconds(40);
  EXPECT_TRUE(Choose().has_value());
  chooser_->OnAdmitted("a0", "short");
  chooser_->OnCapacityRefusal("a0", "short", now_);
  EXPECT_TRUE(Choose().has_value());
}

TEST_F(AnEntryInDomainA, BacksOffPerRequestClass) {
  Build(1, 0);
  for (int i = 0; i < 10; ++i) chooser_->OnCapacityRefusal("a0", "long", now_);
  EXPECT_TRUE(Choose().has_value());
}

/// Answers of 400 bytes spill over when the own domain's upstream has a queue
/// of 60 ms. Archives of 90 KB stay, also after a refusal, until the queue
/// doubles: transfers between failure domains are costly.
TEST_F(AnEntryInDomainA, KeepsLargeAnswersInItsDomainForLonger) {
  Build(1, 1);
  Report("a0", 6, 6, milliseconds(60));
  Report("b1", 0, 0, milliseconds(60));
  chooser_->OnAnswerSize("plots", "short", 400);
  EXPECT_EQ(Choose()->reason, ChoiceReason::kSpillOver);
  for (int i = 0; i < 100; ++i) chooser_->OnAnswerSize("plots", "short", 90000);
  EXPECT_EQ(Choose()->reason, ChoiceReason::kOwnDomain);
  chooser_->OnCapacityRefusal("a0", "short", now_);
  EXPECT_EQ(Choose()->reason, ChoiceReason::kOwnDomain);
  Report("a0", 6, 12, milliseconds(60));
  EXPECT_EQ(Choose()->reason, ChoiceReason::kSpillOver);
}

/// Archives of 90 KB over slow links: the upstream beside the entry needs none.
TEST_F(AnEntryInDomainA, PrefersTheUpstreamOfItsOwnInstanceForLargeAnswers) {
  Build(4, 0);
  targets_[2].instance = "entry";
  EXPECT_LT(CountChoicesOf("entry", 100), 60);
  for (int i = 0; i < 100; ++i) chooser_->OnAnswerSize("plots", "short", 90000);
  EXPECT_EQ(CountChoicesOf("entry", 100), 100);
  EXPECT_EQ(Choose()->reason, ChoiceReason::kOwnInstance);
  EXPECT_NE(Choose({"entry"})->reason, ChoiceReason::kOwnInstance);
  Report("entry", 6, 12, milliseconds(60));
  EXPECT_NE(Choose()->reason, ChoiceReason::kOwnInstance);
  Report("entry", 0, 0, milliseconds(60));
  chooser_->OnCapacityRefusal("entry", "short", now_);
  EXPECT_NE(Choose()->reason, ChoiceReason::kOwnInstance);
}

TEST_F(AnEntryInDomainA, StaysWhenTheOtherDomainIsSaturatedToo) {
  Build(1, 1);
  chooser_->OnRefused("a0", "short", now_);
  chooser_->OnRefused("b1", "short", now_);
  EXPECT_EQ(Choose()->reason, ChoiceReason::kOwnDomain);
}

TEST_F(AnEntryInDomainA, LeavesOutAnUpstreamThatSaysItDrains) {
  Build(2, 0);
  Report("a0", 0, 0, milliseconds(1), false);
  EXPECT_EQ(CountChoicesOf("a0", 50), 0);
}

TEST_F(AnEntryInDomainA, EjectsProbesAndReinstatesASlowUpstream) {
  Build(4, 0);
  ReportAll("a2");
  now_ += milliseconds(60);
  const int probes = CountChoicesOf("a2", 100);
  EXPECT_EQ(chooser_->Counts().ejections, 1u);
  EXPECT_LE(probes, 1);
  now_ += milliseconds(200);
  int sent = 0;
  for (int i = 0; i < 1000; ++i) {
    now_ += milliseconds(1);
    sent += Choose()->reason == ChoiceReason::kProbe ? 1 : 0;
  }
  EXPECT_GE(sent, 5);
  EXPECT_LE(sent, 10);
  ReportAll("");
  now_ += milliseconds(60);
  Choose();
  EXPECT_EQ(chooser_->Counts().reinstatements, 1u);
}

/// A daemon stood still, and the attempts that were open at it failed together.
TEST_F(AnEntryInDomainA, TriesAnotherDomainsUpstreamAgainAfterItFailed) {
  Build(2, 2);
  for (int i = 0; i < 5; ++i) {
    chooser_->OnEnded("b2", AttemptOutcome::kFailed, {}, now_);
  }
  int choices = 0;
  for (int i = 0; i < 6000; ++i) {
    now_ += milliseconds(10);
    // Its own domain has a queue, so that half of the requests spill over.
    for (const char* own : {"a0", "a1"}) Report(own, 6, 12, milliseconds(20));
    choices += targets_[Choose()->index].instance == "b2" ? 1 : 0;
  }
  EXPECT_GT(choices, 0);
}

TEST_F(AnEntryInDomainA, EjectsAnUpstreamThatGoesOnFailingAfterOneMore) {
  Build(2, 2);
  for (int i = 0; i < 5; ++i) Fail("b2");
  EXPECT_EQ(CountEjections(), 1u);
  now_ += seconds(10);
  EXPECT_EQ(CountEjections(), 1u);
  EXPECT_EQ(chooser_->Counts().reinstatements, 1u);
  Fail("b2");
  EXPECT_EQ(CountEjections(), 2u);
}

TEST_F(AnEntryInDomainA, ForgetsFailuresThatAreLongPast) {
  Build(2, 2);
  for (int i = 0; i < 9; ++i) {
    now_ += seconds(10);
    Fail("b2");
  }
  EXPECT_EQ(CountEjections(), 0u);
}

TEST_F(AnEntryInDomainA, StartsAnewWithAnUpstreamsNextIncarnation) {
  Build(2, 2);
  for (UpstreamTarget& target : targets_) target.incarnation = 1;
  EXPECT_EQ(CountEjections(), 0u);
  for (int i = 0; i < 5; ++i) Fail("b2");
  EXPECT_EQ(CountEjections(), 1u);
  targets_[2].incarnation = 2;
  EXPECT_EQ(CountEjections(), 1u);
  EXPECT_EQ(chooser_->Counts().reinstatements, 1u);
  Fail("b2");
  EXPECT_EQ(CountEjections(), 1u);
}

/// What probes find keeps an upstream of its own domain ejected.
TEST_F(AnEntryInDomainA, KeepsAnUpstreamEjectedWhoseProbesFail) {
  Build(4, 0);
  for (int i = 0; i < 5; ++i) Fail("a2");
  for (int i = 0; i < 6000; ++i) {
    now_ += milliseconds(10);
    if (targets_[Choose()->index].instance == "a2") Fail("a2");
  }
  EXPECT_EQ(chooser_->Counts().ejections, 1u);
}

/// Seen on a busy machine, with upstreams that all need 10 ms: the first
/// request to one of them took 38 ms.
TEST_F(AnEntryInDomainA, EjectsNoUpstreamForItsFirstSlowAnswers) {
  Build(4, 0);
  for (uint32_t samples = 1; samples <= 4; ++samples) {
    for (const char* instance : {"a0", "a1", "a3"}) {
      ReportMedian(instance, milliseconds(10), samples);
    }
    ReportMedian("a2", milliseconds(38), samples);
    now_ += milliseconds(60);
    Choose();
    EXPECT_EQ(chooser_->Counts().ejections, 0u) << samples;
  }
  ReportMedian("a2", milliseconds(38), 5);
  now_ += milliseconds(60);
  Choose();
  EXPECT_EQ(chooser_->Counts().ejections, 1u);
  // One probe of the restarted upstream is enough to reinstate it.
  ReportMedian("a2", milliseconds(10), 1);
  now_ += milliseconds(60);
  Choose();
  EXPECT_EQ(chooser_->Counts().reinstatements, 1u);
}

TEST_F(AnEntryInDomainA, NeverEjectsMoreThanTheCap) {
  Build(6, 0);
  for (const char* instance : {"a0", "a1"}) {
    Report(instance, 0, 0, milliseconds(10));
  }
  for (const char* instance : {"a2", "a3", "a4", "a5"}) {
    for (int i = 0; i < 9; ++i) {
      chooser_->OnEnded(instance, AttemptOutcome::kFailed, {}, now_);
    }
  }
  Choose();
  EXPECT_EQ(chooser_->Counts().ejections, 2u);
}

TEST_F(AnEntryInDomainA,
       SpillsOverOnlyWhenTheOtherDomainIsExpectedToAnswerEarlier) {
  Build(2, 2);
  chooser_ = MakeUpstreamChooser(
      {ChoicePolicy::kShortestTime, false, "entry", "a", 7});
  ReportAll("a0");
  EXPECT_EQ(CountChoicesOf("a1", 20), 20);
  Report("a1", 6, 1, milliseconds(10));  // 13 ms are expected: 4/3 of 10 ms.
  EXPECT_EQ(CountChoicesOf("a1", 20), 20);
  Report("a1", 6, 7, milliseconds(10));
  EXPECT_EQ(Choose()->reason, ChoiceReason::kSpillOver);
}

TEST_F(AnEntryInDomainA, KeepsToASubsetOfManyUpstreams) {
  Build(100, 0);
  std::set<std::string> chosen;
  for (int i = 0; i < 500; ++i) {
    chosen.insert(targets_[Choose()->index].instance);
  }
  EXPECT_EQ(chosen.size(), 8u);
  // When an upstream is removed, only its place in the subset changes.
  std::erase_if(targets_, [&](const UpstreamTarget& target) {
    return target.instance == *chosen.begin();
  });
  size_t kept = 0;
  std::set<std::string> later;
  for (int i = 0; i < 500; ++i) {
    later.insert(targets_[Choose()->index].instance);
  }
  for (const std::string& instance : later) kept += chosen.count(instance);
  EXPECT_EQ(kept, 7u);
}

TEST_F(AnEntryInDomainA,
       RemainingNotTwiceNeverPicksTheSameUpstreamTwiceInARow) {
  Build(3, 0);
  chooser_ = MakeUpstreamChooser(
      {ChoicePolicy::kRemainingNotTwice, true, "entry", "a", 7});
  std::string last;
  for (int i = 0; i < 30; ++i) {
    const std::string instance = targets_[Choose()->index].instance;
    EXPECT_NE(instance, last);
    chooser_->OnSent(instance, now_);
    chooser_->OnEnded(instance, AttemptOutcome::kAnswered, {}, now_);
    last = instance;
  }
}

TEST_F(AnEntryInDomainA, BySpeedGivesTheQuickerOfTwoMoreUntilItIsAsFull) {
  Build(2, 0);
  chooser_ = MakeUpstreamChooser(
      {ChoicePolicy::kTwoChoicesBySpeed, true, "entry", "a", 7});
  Report("a0", 2, 0, milliseconds(60));
  Report("a1", 2, 0, milliseconds(150));
  EXPECT_EQ(CountChoicesOf("a0", 20), 20);
  Report("a0", 6, 3, milliseconds(60));
  EXPECT_EQ(CountChoicesOf("a1", 20), 20);
  // It turns slow.
  Report("a0", 2, 0, milliseconds(300));
  EXPECT_EQ(CountChoicesOf("a1", 20), 20);
}

}  // namespace
}  // namespace hibiscusglade
