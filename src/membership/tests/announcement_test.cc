#include <gtest/gtest.h>

#include "membership/membership.h"

namespace hibiscusglade {
namespace {

using std::chrono::seconds;

class AnUpstreamBesideADaemon : public testing::Test {
 protected:
  AnUpstreamBesideADaemon() {
    MembershipConfig config;
    config.self.instance = "x";
    config.expected_service = "orders";
    config.expected_address = "10.0.0.1:80";
    membership_ = MakeMembership(config, 1, now_);
  }

  void Announce(const std::string& id, int64_t started_at_ms, uint64_t sequence,
                UpstreamState state = UpstreamState::kServing) {
    UpstreamAnnouncement upstream;
    upstream.service = "orders";
    upstream.address = "10.0.0.1:80";
    upstream.slots = 4;
    upstream.id = id;
    upstream.started_at_ms = started_at_ms;
    upstream.sequence = sequence;
    upstream.state = state;
    membership_->OnAnnounce(upstream, now_);
  }

  std::string Id() {
    const auto upstream = membership_->LocalUpstream();
    return upstream.has_value() ? upstream->id : "";
  }
  UpstreamState State() { return membership_->LocalUpstream()->state; }

  Instant now_ = Instant(seconds(1000));
  std::unique_ptr<Membership> membership_;
};

TEST_F(AnUpstreamBesideADaemon, HasTheVersionOfItsSoftwareInTheRecord) {
  UpstreamAnnouncement upstream;
  upstream.service = "orders";
  upstream.address = "10.0.0.1:80";
  membership_->OnAnnounce(upstream, now_);
  EXPECT_EQ(membership_->Records().at(0).upstream_version, "");
  upstream.software_version = "v2";
  membership_->OnAnnounce(upstream, now_);
  EXPECT_EQ(membership_->Records().at(0).upstream_version, "v2");
}

class AnUpstreamReportedDown : public AnUpstreamBesideADaemon {
 protected:
  AnUpstreamReportedDown() {
    Announce("i-1", 1000, 5);
    now_ += seconds(3);
    membership_->OnUpstreamDown("i-1", 1000, now_);
  }
};

TEST_F(AnUpstreamReportedDown, DrainsUntilItAnnouncesItselfAgain) {
  EXPECT_EQ(State(), UpstreamState::kDraining);
  Announce("i-1", 1000, 4);
  EXPECT_EQ(State(), UpstreamState::kDraining);
  Announce("i-1", 1000, 6);
  EXPECT_EQ(State(), UpstreamState::kServing);
}

TEST_F(AnUpstreamReportedDown, IsGoneWhenItsLeaseEnds) {
  now_ += seconds(2);
  membership_->OnTick(now_);
  EXPECT_EQ(Id(), "");
}

TEST_F(AnUpstreamReportedDown, IsNotTakenForALaterIncarnation) {
  Announce("i-1", 2000, 1);
  membership_->OnUpstreamDown("i-1", 1000, now_);
  EXPECT_EQ(State(), UpstreamState::kServing);
}

class ALateAnnouncement : public AnUpstreamBesideADaemon {};

TEST_F(ALateAnnouncement, OfAnEarlierIncarnationIsIgnored) {
  Announce("i-2", 2000, 1);
  Announce("i-1", 1000, 99);
  EXPECT_EQ(Id(), "i-2");
}

TEST_F(ALateAnnouncement, DoesNotUndoADrain) {
  Announce("i-1", 1000, 5, UpstreamState::kDraining);
  Announce("i-1", 1000, 4);
  EXPECT_EQ(State(), UpstreamState::kDraining);
  Announce("i-1", 1000, 6);
  EXPECT_EQ(State(), UpstreamState::kServing);
}

TEST_F(ALateAnnouncement, DoesNotRestoreAnUpstreamThatLeft) {
  Announce("i-1", 1000, 5);
  membership_->OnUpstreamLeft("i-1", 0, now_);
  Announce("i-1", 1000, 6);
  EXPECT_EQ(Id(), "");
}

/// The daemon has been restarted, so that it does not know its upstream yet.
class ARestartedDaemon : public AnUpstreamBesideADaemon {};

TEST_F(ARestartedDaemon, RemembersTheLeaveOfAnUpstreamThatItDidNotKnow) {
  membership_->OnUpstreamLeft("i-1", 1000, now_);
  Announce("i-1", 1000, 5);
  EXPECT_EQ(Id(), "");
  Announce("i-1", 3000, 1);
  EXPECT_EQ(Id(), "i-1");
}

/// Deregistrations need not name a start time.
TEST_F(ARestartedDaemon, RemembersALeaveWithoutAStartTimeForALease) {
  membership_->OnUpstreamLeft("i-1", 0, now_);
  now_ += seconds(3);
  Announce("i-1", 1000, 5);
  EXPECT_EQ(Id(), "");
  Announce("i-2", 1000, 1);
  EXPECT_EQ(Id(), "i-2");
}

TEST_F(ARestartedDaemon, TakesANewStartUnderAnIdThatLeftWithoutAStartTime) {
  membership_->OnUpstreamLeft("i-1", 0, now_);
  now_ += seconds(6);
  Announce("i-1", 3000, 1);
  EXPECT_EQ(Id(), "i-1");
}

TEST_F(ARestartedDaemon, TakesAnotherUpstreamAfterALeave) {
  membership_->OnUpstreamLeft("i-1", 9000, now_);
  Announce("i-2", 2000, 1);
  EXPECT_EQ(Id(), "i-2");
}

TEST_F(ARestartedDaemon, RemembersSeveralLeaves) {
  membership_->OnUpstreamLeft("i-1", 1000, now_);
  membership_->OnUpstreamLeft("i-2", 2000, now_);
  Announce("i-1", 1000, 5);
  Announce("i-2", 2000, 5);
  EXPECT_EQ(Id(), "");
}

class ANewStart : public AnUpstreamBesideADaemon {};

TEST_F(ANewStart, UnderTheSameIdRestartsTheSequence) {
  Announce("i-1", 1000, 50);
  Announce("i-1", 3000, 1);
  EXPECT_EQ(membership_->LocalUpstream()->started_at_ms, 3000);
}

TEST_F(ANewStart, WithoutAStartTimeIsTakenOnceTheLeaseHasExpired) {
  Announce("i-1", 0, 50);
  Announce("i-1", 0, 1);
  EXPECT_EQ(membership_->LocalUpstream()->sequence, 50U);
  now_ += seconds(6);
  membership_->OnTick(now_);
  Announce("i-1", 0, 2);
  EXPECT_EQ(Id(), "i-1");
}

TEST_F(ANewStart, IsNotRemovedByTheDeregistrationOfTheOldOne) {
  Announce("i-1", 1000, 50);
  Announce("i-1", 3000, 1);
  membership_->OnUpstreamLeft("i-1", 1000, now_);
  EXPECT_EQ(Id(), "i-1");
  Announce("i-2", 4000, 1);
  membership_->OnUpstreamLeft("i-1", 0, now_);
  EXPECT_EQ(Id(), "i-2");
}

/// The clock that upstreams take their start times from was set back between
/// two starts.
class AnUpstreamWithAnEarlierStartTime : public AnUpstreamBesideADaemon {
 protected:
  AnUpstreamWithAnEarlierStartTime() { Announce("i-1", 9000, 50); }
};

TEST_F(AnUpstreamWithAnEarlierStartTime, ReplacesOneWhoseLeaseHasExpired) {
  now_ += seconds(6);
  membership_->OnTick(now_);
  Announce("i-2", 4000, 5);
  EXPECT_EQ(Id(), "i-2");
}

TEST_F(AnUpstreamWithAnEarlierStartTime, ReplacesOneThatHasLeft) {
  membership_->OnUpstreamLeft("i-1", 9000, now_);
  Announce("i-2", 4000, 5);
  EXPECT_EQ(Id(), "");
  now_ += seconds(6);
  membership_->OnTick(now_);
  Announce("i-2", 4000, 9);
  EXPECT_EQ(Id(), "i-2");
}

TEST_F(AnUpstreamWithAnEarlierStartTime, DoesNotLetTheOneThatLeftReturn) {
  membership_->OnUpstreamLeft("i-1", 9000, now_);
  now_ += seconds(6);
  membership_->OnTick(now_);
  Announce("i-2", 4000, 5);
  Announce("i-1", 9000, 51);
  EXPECT_EQ(Id(), "i-2");
}

/// The daemon stands still for longer than a lease, so that it reads no
/// announcements meanwhile.
class ADaemonThatPauses : public AnUpstreamBesideADaemon {
 protected:
  ADaemonThatPauses() {
    Announce("i-1", 1000, 1);
    Run(seconds(1));
    now_ += seconds(30);
  }

  void Run(Duration length) {
    for (const Instant end = now_ + length; now_ < end;
         now_ += std::chrono::milliseconds(50)) {
      membership_->OnTick(now_);
    }
  }
};

TEST_F(ADaemonThatPauses, DoesNotTakeItForTheSilenceOfItsUpstream) {
  Run(seconds(2));
  EXPECT_EQ(Id(), "i-1");
}

TEST_F(ADaemonThatPauses, EndsTheLeaseOfAnUpstreamThatStaysSilent) {
  Run(seconds(6));
  EXPECT_EQ(Id(), "");
}

TEST_F(ADaemonThatPauses, DoesNotProlongALeaseThatBeganAfterThePause) {
  Announce("i-1", 1000, 2);
  Run(seconds(6));
  EXPECT_EQ(Id(), "");
}

class AnUnexpectedAnnouncement : public AnUpstreamBesideADaemon {};

TEST_F(AnUnexpectedAnnouncement, OfAnotherServiceOrAddressIsIgnored) {
  Announce("i-1", 1000, 1);
  UpstreamAnnouncement forged;
  forged.id = "forged";
  forged.started_at_ms = 9000;
  forged.service = "catalog";
  forged.address = "10.0.0.1:80";
  membership_->OnAnnounce(forged, now_);
  forged.service = "orders";
  forged.address = "10.0.0.2:80";
  membership_->OnAnnounce(forged, now_);
  EXPECT_EQ(Id(), "i-1");
}

}  // namespace
}  // namespace hibiscusglade
