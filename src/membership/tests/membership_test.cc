#include "membership/membership.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

MembershipConfig ConfigOf(const std::string& name, uint64_t incarnation) {
  MembershipConfig config;
  config.self.instance = name;
  config.self.failure_domain = "a";
  config.self.incarnation = incarnation;
  config.self.control_address = name;
  config.seeds = {"x", "y"};
  return config;
}

class TwoInstances : public testing::Test {
 protected:
  void Exchange() {
    for (const MembershipSend& sent : x_->OnTick(now_).send) {
      y_->OnMessage("x", sent.message, now_);
    }
    now_ += std::chrono::seconds(1);
  }

  Instant now_ = Instant(std::chrono::seconds(1000));
  std::unique_ptr<Membership> x_ = MakeMembership(ConfigOf("x", 1), 1, now_);
  std::unique_ptr<Membership> y_ = MakeMembership(ConfigOf("y", 1), 2, now_);
};

TEST_F(TwoInstances, LearnOfEachOthersUpstreams) {
  x_->OnAnnounce({"plots", "127.0.0.1:80", 6, 130, UpstreamState::kServing},
                 now_);
  Exchange();
  ASSERT_EQ(y_->Records().size(), 2u);
  EXPECT_EQ(y_->Records()[0].service, "plots");
}

TEST_F(TwoInstances, KeepTheLaterIncarnation) {
  Exchange();
  InstanceRecord older = y_->Records()[0];
  older.incarnation = 0;
  older.sequence = 100;
  y_->OnMessage("x", GossipMessage{{older}, 0, false, false}, now_);
  EXPECT_EQ(y_->Records()[0].incarnation, 1u);
}

class AnUpstreamsLease : public TwoInstances {};

TEST_F(AnUpstreamsLease, EndsWhenItIsNotRenewed) {
  x_->OnAnnounce({"plots", "127.0.0.1:80", 6, 130, UpstreamState::kServing},
                 now_);
  now_ += std::chrono::seconds(6);
  EXPECT_TRUE(x_->OnTick(now_).changed);
  EXPECT_FALSE(x_->LocalUpstream().has_value());
}

}  // namespace
}  // namespace hibiscusglade
