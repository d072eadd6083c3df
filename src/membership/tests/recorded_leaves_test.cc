#include <gtest/gtest.h>

#include "membership/membership.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Replays what a daemon without a disk meets after all processes were killed:
/// its peers were killed, too, so only the replicas know what it acknowledged.
class ADaemonAfterALossOfAllProcesses : public testing::Test {
 protected:
  ADaemonAfterALossOfAllProcesses() {
    MembershipConfig config;
    config.self.instance = "x";
    config.expected_service = "orders";
    membership_ = MakeMembership(config, 1, now_);
  }

  void Announce(const std::string& id, int64_t started_at_ms, uint64_t sequence,
                UpstreamState state = UpstreamState::kServing) {
    now_ += milliseconds(100);
    membership_->OnAnnounce(Announcement(id, started_at_ms, sequence, state),
                            now_);
  }

  static UpstreamAnnouncement Announcement(
      const std::string& id, int64_t started_at_ms, uint64_t sequence,
      UpstreamState state = UpstreamState::kServing) {
    UpstreamAnnouncement upstream;
    upstream.service = "orders";
    upstream.slots = 4;
    upstream.id = id;
    upstream.started_at_ms = started_at_ms;
    upstream.sequence = sequence;
    upstream.state = state;
    return upstream;
  }

  MembershipEffects ReadLeaves(std::vector<UpstreamLeave> leaves) {
    now_ += milliseconds(100);
    return membership_->OnLeavesRead(std::move(leaves), now_);
  }

  std::string Id() {
    const auto upstream = membership_->LocalUpstream();
    return upstream.has_value() ? upstream->id : "";
  }

  Instant now_ = Instant(seconds(1000));
  std::unique_ptr<Membership> membership_;
};

/// The last announcement before the leave arrives seconds later.
class AnUpstreamThatHasDeregistered : public ADaemonAfterALossOfAllProcesses {
 protected:
  const UpstreamLeave leave_{"i-1", 1000, kAfterLeave};
};

TEST_F(AnUpstreamThatHasDeregistered, DoesNotReturnByALateAnnouncement) {
  ReadLeaves({leave_});
  for (uint64_t sequence = 5; sequence < 9; ++sequence) {
    Announce("i-1", 1000, sequence);
    EXPECT_EQ(Id(), "");
  }
  EXPECT_EQ(membership_->WhyIgnored(Announcement("i-1", 1000, 9), now_),
            IgnoredReason::kLeaveRecorded);
}

TEST_F(AnUpstreamThatHasDeregistered, IsTakenOutWhenItsAnnouncementCameFirst) {
  Announce("i-1", 1000, 5);
  EXPECT_EQ(Id(), "i-1");
  const MembershipEffects effects = ReadLeaves({leave_});
  EXPECT_EQ(Id(), "");
  EXPECT_TRUE(effects.changed);
}

TEST_F(AnUpstreamThatHasDeregistered, DoesNotReturnLongAfterwards) {
  ReadLeaves({leave_});
  now_ += seconds(60);
  membership_->OnTick(now_);
  Announce("i-1", 1000, 5);
  EXPECT_EQ(Id(), "");
}

TEST_F(AnUpstreamThatHasDeregistered, IsReplacedByItsNextStartAtOnce) {
  ReadLeaves({leave_});
  Announce("i-1", 3000, 1);
  EXPECT_EQ(Id(), "i-1");
  Announce("i-1", 1000, 9);
  EXPECT_EQ(membership_->LocalUpstream()->started_at_ms, 3000);
}

TEST_F(AnUpstreamThatHasDeregistered, DoesNotTakeItsNextStartAlong) {
  Announce("i-1", 3000, 1);
  ReadLeaves({leave_});
  EXPECT_EQ(Id(), "i-1");
  membership_->OnUpstreamLeft("i-1", 1000, now_);
  EXPECT_EQ(Id(), "i-1");
}

/// The clock that upstreams take their start times from was set back.
TEST_F(AnUpstreamThatHasDeregistered, IsReplacedByAnEarlierStartTimeAtOnce) {
  ReadLeaves({leave_});
  Announce("i-1", 400, 1);
  EXPECT_EQ(Id(), "i-1");
}

class AnUpstreamThatDrains : public ADaemonAfterALossOfAllProcesses {
 protected:
  const UpstreamLeave leave_{"i-1", 1000, 7};
};

TEST_F(AnUpstreamThatDrains, DoesNotServeByALateAnnouncement) {
  ReadLeaves({leave_});
  Announce("i-1", 1000, 6);
  EXPECT_EQ(Id(), "");
  Announce("i-1", 1000, 8, UpstreamState::kDraining);
  EXPECT_EQ(membership_->LocalUpstream()->state, UpstreamState::kDraining);
  Announce("i-1", 1000, 6);
  EXPECT_EQ(membership_->LocalUpstream()->state, UpstreamState::kDraining);
}

TEST_F(AnUpstreamThatDrains, ServesAgainWhenItSaysSoLater) {
  ReadLeaves({leave_});
  Announce("i-1", 1000, 8);
  EXPECT_EQ(Id(), "i-1");
}

TEST_F(AnUpstreamThatDrains, StaysOutAfterAnotherHasReplacedIt) {
  ReadLeaves({leave_, {"i-2", 2000, 3}});
  now_ += seconds(30);
  membership_->OnTick(now_);
  Announce("i-1", 1000, 6);
  Announce("i-2", 2000, 2);
  EXPECT_EQ(Id(), "");
}

class AnUpstreamThatNeverLeft : public ADaemonAfterALossOfAllProcesses {};

TEST_F(AnUpstreamThatNeverLeft, IsInUseWithItsFirstAnnouncement) {
  Announce("i-2", 2000, 40);
  ReadLeaves({{"i-1", 1000, kAfterLeave}});
  EXPECT_EQ(Id(), "i-2");
}

TEST_F(AnUpstreamThatNeverLeft, IsInUseWhereNothingWasRecorded) {
  ReadLeaves({});
  Announce("i-2", 2000, 40);
  EXPECT_EQ(Id(), "i-2");
}

/// A deregistration says which upstream incarnation it is of.
class ADeregistration : public testing::Test {
 protected:
  static UpstreamAnnouncement Local() {
    UpstreamAnnouncement upstream;
    upstream.id = "i-1";
    upstream.started_at_ms = 1000;
    return upstream;
  }
};

TEST_F(ADeregistration, IsOfTheLocalUpstreamWhenItNamesNoStart) {
  EXPECT_EQ(LeaveOf(Local(), "i-1", 0),
            (UpstreamLeave{"i-1", 1000, kAfterLeave}));
}

TEST_F(ADeregistration, IsOfTheStartThatItNames) {
  EXPECT_EQ(LeaveOf(Local(), "i-1", 400),
            (UpstreamLeave{"i-1", 400, kAfterLeave}));
  EXPECT_EQ(LeaveOf(std::nullopt, "i-0", 400),
            (UpstreamLeave{"i-0", 400, kAfterLeave}));
}

TEST_F(ADeregistration, IsNotRecordedWhenALaterStartCouldBeMeant) {
  EXPECT_EQ(LeaveOf(std::nullopt, "i-1", 0), std::nullopt);
  EXPECT_EQ(LeaveOf(Local(), "", 1000), std::nullopt);
}

}  // namespace
}  // namespace hibiscusglade
