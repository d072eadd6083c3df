#include "requests/internal/link_watch.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

/// A link to an owner with one open attempt, checked each 50 ms.
class AWatchedLink : public testing::Test {
 protected:
  AWatchedLink() { watch_.OnSent("owner", now_); }

  /// @return what is found until the given time has passed.
  LinkFindings Pass(Duration time) {
    LinkFindings all;
    for (Duration passed{}; passed < time; passed += milliseconds(50)) {
      now_ += milliseconds(50);
      LinkFindings found =
          watch_.Check([this](const std::string&) { return open_; }, now_);
      for (auto& owner : found.unresponsive) all.unresponsive.push_back(owner);
      for (auto& ping : found.pings) all.pings.push_back(ping);
    }
    return all;
  }

  LinkWatch watch_;
  Instant now_{std::chrono::seconds(1)};
  std::vector<AttemptId> open_ = {"a1"};
};

TEST_F(AWatchedLink, IsPingedWithItsOpenAttempts) {
  const LinkFindings found = Pass(milliseconds(1000));
  EXPECT_EQ(found.pings, (std::vector<LinkPingDue>{{"owner", 1, {"a1"}},
                                                   {"owner", 2, {"a1"}}}));
  EXPECT_TRUE(found.unresponsive.empty());
}

TEST_F(AWatchedLink, IsUnresponsiveOnceNothingCameForAWhile) {
  EXPECT_TRUE(Pass(milliseconds(1500)).unresponsive.empty());
  EXPECT_EQ(Pass(milliseconds(50)).unresponsive,
            std::vector<std::string>{"owner"});
  EXPECT_EQ(Pass(milliseconds(5000)), LinkFindings{});
}

TEST_F(AWatchedLink, IsResponsiveWhileAnythingComes) {
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(Pass(milliseconds(1000)).unresponsive.empty());
    watch_.OnReceived("owner", now_);
  }
}

TEST_F(AWatchedLink, IsForgottenWithoutOpenAttempts) {
  open_.clear();
  EXPECT_EQ(Pass(milliseconds(5000)), LinkFindings{});
}

}  // namespace
}  // namespace hibiscusglade
