#include <gtest/gtest.h>
#include <time.h>

#include <algorithm>

#include "distribution/tests/ask_directories.h"
#include "distribution/version_follower.h"
#include "versions/config_reader.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

constexpr int kRoutes = 2000;
/// A change must be in force everywhere within 2 s. In a failure domain of 28
/// daemons it passes up to 5 of them, each with a tenth of a core.
constexpr Duration kMaxCostPerDaemon = milliseconds(2000) / 5 / 10;

std::string DocumentText(int routes) {
  std::string text =
      R"({"classes":{"short":{}},"limits":{},"services":{"plots":{}},)"
      R"("routes":{)";
  for (int i = 0; i < routes; ++i) {
    const std::string number = std::to_string(i);
    text += i == 0 ? "\"r" : ",\"r";
    text += number;
    text += R"(":{"class":"short","host":"plots.example","path_prefix":"/p)";
    text += number;
    text += R"(/list/","repeatable":true,"claimed":false,)";
    text += R"("objective_ms":300,"timeout_ms":1000,"service":"plots"})";
  }
  auto canonical = [](const std::string& document) {
    std::vector<SettingsFault> faults;
    return ApplyPatch(document, "[]", faults).value();
  };
  return canonical(text + "}}");
}

std::string TimeoutPatch(uint64_t number) {
  return R"([{"op":"replace","path":"/routes/r7/timeout_ms","value":)" +
         std::to_string(number) + "}]";
}

/// Splits a route in two operations; the route is not valid between them.
std::string SplitPatch(uint64_t number) {
  const std::string route = "/routes/r" + std::to_string(number);
  return R"([{"op":"remove","path":")" + route +
         R"(/service"},{"op":"add","path":")" + route +
         R"(/shares","value":[{"service":"plots","weight":1}]}])";
}

Duration ThreadCpuTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::duration_cast<Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

class ADaemonWithManyRoutes : public testing::Test {
 protected:
  explicit ADaemonWithManyRoutes(int routes = kRoutes) {
    follower_->OnLatestRead(0, now_, now_);
    latest_ = MakeConfigVersion(1, 0, DocumentText(routes), "", faults_);
    VersionPullAnswer whole;
    whole.whole = latest_->text;
    whole.number = 1;
    whole.digest = latest_->digest;
    follower_->OnMessage("peer", whole, now_);
  }

  using PatchOf = std::string (*)(uint64_t number);

  /// @return the answer of a peer that has `count` more versions.
  VersionPullAnswer NextSteps(uint64_t count, PatchOf patch_of) {
    VersionPullAnswer answer;
    answer.base_number = latest_->number;
    answer.base_digest = latest_->digest;
    for (uint64_t i = 0; i < count; ++i) {
      const uint64_t number = latest_->number + 1;
      const std::string patch = patch_of(number);
      answer.steps.push_back({number, patch});
      latest_ = MakeConfigVersion(number, number - 1,
                                  *ApplyPatch(latest_->text, patch, faults_),
                                  patch, faults_);
    }
    answer.number = latest_->number;
    answer.digest = latest_->digest;
    return answer;
  }

  /// @return the least processor time of several tries.
  Duration CostOf(uint64_t count, PatchOf patch_of = TimeoutPatch) {
    Duration least = Duration::max();
    for (int i = 0; i < 5; ++i) {
      const VersionPullAnswer answer = NextSteps(count, patch_of);
      const Duration begin = ThreadCpuTime();
      const FollowerEffects effects =
          follower_->OnMessage("peer", answer, now_);
      least = std::min(least, ThreadCpuTime() - begin);
      EXPECT_NE(effects.activate, nullptr);
      EXPECT_EQ(*follower_->InUse(), *latest_);
    }
    return least;
  }

  Instant now_ = Instant(std::chrono::seconds(1000));
  std::vector<SettingsFault> faults_;
  ConfigVersionPtr latest_;
  EmptyAskDirectory directory_;
  std::unique_ptr<VersionFollower> follower_ =
      MakeVersionFollower({"x", "a"}, 1, now_, directory_);
};

TEST_F(ADaemonWithManyRoutes, PassesASmallChangeOnInTime) {
  EXPECT_LT(CostOf(1).count(), kMaxCostPerDaemon.count());
}

TEST_F(ADaemonWithManyRoutes, PassesSeveralChangesAtOnceOnInTime) {
  EXPECT_LT(CostOf(8).count(), kMaxCostPerDaemon.count());
}

class ADaemonWithFiveThousandRoutes : public ADaemonWithManyRoutes {
 protected:
  ADaemonWithFiveThousandRoutes() : ADaemonWithManyRoutes(5000) {}
};

TEST_F(ADaemonWithFiveThousandRoutes, PassesAChangeOfTwoOperationsOnInTime) {
  EXPECT_LT(CostOf(1, SplitPatch).count(), kMaxCostPerDaemon.count());
}

}  // namespace
}  // namespace hibiscusglade
