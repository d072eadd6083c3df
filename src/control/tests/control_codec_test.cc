#include "control/internal/control_codec.h"

#include <gtest/gtest.h>

#include "base/random.h"

namespace hibiscusglade {
namespace {

constexpr int kAddedRoutes = 840;
/// A daemon answers ten pulls at once before their timeout of 400 ms, over a
/// link of 7.7 Mbit/s.
constexpr size_t kMaxAnswerBytes = 7'700'000 / 8 * 400 / 1000 / 10;

std::string PatchThatAddsRoutes() {
  Random random(1);
  std::string patch;
  for (int i = 0; i < kAddedRoutes; ++i) {
    const std::string prefix = std::to_string(random.Below(1'000'000'000));
    patch += patch.empty() ? "[" : ",";
    patch += R"({"op":"add","path":"/routes/r)" + std::to_string(i);
    patch += R"(","value":{"class":"short","host":"plots.example",)";
    patch += R"("path_prefix":"/p)" + prefix;
    patch += R"(/","repeatable":true,"claimed":false,"objective_ms":300,)";
    patch += R"("timeout_ms":1000,"max_attempts":2,"service":"plots"}})";
  }
  return patch + "]";
}

class AnAnswerThatAddsManyRoutes : public testing::Test {
 protected:
  AnAnswerThatAddsManyRoutes() {
    answer_.base_number = 6;
    answer_.base_digest = 60;
    answer_.steps = {{7, PatchThatAddsRoutes()}, {9, "[]"}};
    answer_.number = 9;
    answer_.digest = 90;
  }

  /// @return the answer as its receiver reads it.
  static VersionPullAnswer Receive(const wire::Envelope& message) {
    return std::get<VersionPullAnswer>(*DistributionFromWire(message));
  }

  VersionPullAnswer answer_;
  wire::Envelope message_;
};

TEST_F(AnAnswerThatAddsManyRoutes, IsShortEnoughForAFullLink) {
  answer_.compress_steps = VersionPull{}.reads_compressed_steps;
  ToWire(answer_, message_);
  EXPECT_LT(message_.ByteSizeLong(), kMaxAnswerBytes);
  EXPECT_EQ(Receive(message_).steps, answer_.steps);
}

TEST_F(AnAnswerThatAddsManyRoutes, IsNotCompressedForAnEarlierRelease) {
  wire::Envelope pull;
  pull.mutable_version_pull()->set_have_number(6);
  const auto read = std::get<VersionPull>(*DistributionFromWire(pull));
  EXPECT_FALSE(read.reads_compressed_steps);
  answer_.compress_steps = read.reads_compressed_steps;
  ToWire(answer_, message_);
  EXPECT_EQ(message_.version_pull_answer().steps_size(), 2);
  EXPECT_EQ(Receive(message_).steps, answer_.steps);
}

TEST_F(AnAnswerThatAddsManyRoutes, IsPassedOnAsItWasReceived) {
  answer_.compress_steps = true;
  answer_.unsolicited = true;
  answer_.forward_to = 3;
  ToWire(answer_, message_);
  VersionPullAnswer received = Receive(message_);
  EXPECT_EQ(received.forward_to, 3u);
  wire::Envelope passed_on;
  ToWire(received, passed_on);
  EXPECT_EQ(passed_on.SerializeAsString(), message_.SerializeAsString());
}

TEST_F(AnAnswerThatAddsManyRoutes, HasNoStepsWhenItIsDamaged) {
  answer_.compress_steps = true;
  ToWire(answer_, message_);
  message_.mutable_version_pull_answer()->mutable_compressed_steps()->resize(
      100);
  EXPECT_TRUE(Receive(message_).steps.empty());
}

TEST(AVersionNotice, IsReadAsItWasWritten) {
  const VersionNotice notice{7, 8,    std::chrono::milliseconds(9),    true,
                             3, true, Instant(std::chrono::seconds(4))};
  wire::Envelope message;
  ToWire(notice, message);
  EXPECT_EQ(std::get<VersionNotice>(*DistributionFromWire(message)), notice);
}

TEST(AVersionNotice, OfAnEarlierReleaseHasNoAge) {
  wire::Envelope message;
  message.mutable_version_notice()->set_number(7);
  const auto read = std::get<VersionNotice>(*DistributionFromWire(message));
  EXPECT_EQ(read.number, 7u);
  EXPECT_EQ(read.age, std::nullopt);
}

TEST(AVersionNotice, WithAnImpossibleAgeHasNone) {
  wire::Envelope message;
  message.mutable_version_notice()->set_age_micros(~uint64_t{0});
  EXPECT_EQ(std::get<VersionNotice>(*DistributionFromWire(message)).age,
            std::nullopt);
}

TEST(AnInstanceRecord, IsReadAsItWasWritten) {
  InstanceRecord record;
  record.instance = "x";
  record.region = "north";
  record.failure_domain = "a";
  record.incarnation = 2;
  record.sequence = 3;
  record.state = InstanceState::kSuspected;
  record.control_address = "10.0.0.1:1";
  record.request_address = "10.0.0.1:2";
  record.service = "plots";
  record.slots = 4;
  record.upstream_state = UpstreamState::kDraining;
  record.upstream_started_at_ms = 5000;
  record.upstream_sequence = 6;
  record.version_in_use = 7;
  record.version_digest = 8;
  record.replica = true;
  record.unreachable_domains = {"b", "c"};
  wire::Envelope message;
  ToWire(GossipMessage{{record}, {}}, message);
  const auto read = std::get<GossipMessage>(*MembershipFromWire(message));
  EXPECT_EQ(read.records, std::vector<InstanceRecord>{record});
}

TEST(AProbe, IsReadAsItWasWritten) {
  const ProbeMessage probe{7, "x"};
  wire::Envelope message;
  ToWire(probe, message);
  EXPECT_EQ(std::get<ProbeMessage>(*MembershipFromWire(message)), probe);
}

TEST(AnInstanceRecordWithAnAddressThatCannotBeRead,
     IsLeftOutAndTheOthersAreRead) {
  InstanceRecord good;
  good.instance = "good";
  good.control_address = "10.0.0.1:1";
  good.request_address = "10.0.0.1:65535";
  for (const char* address :
       {"", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
        "10.0.0.1:18446744073709551616", "10.0.0.1:-1", "10.0.0.300:1",
        "fd00::1:9000", "host:1", "[[[[[[[["}) {
    InstanceRecord odd_control = good;
    odd_control.control_address = address;
    InstanceRecord odd_request = good;
    odd_request.request_address = address;
    wire::Envelope message;
    ToWire(GossipMessage{{odd_control, good, odd_request, good}, {}}, message);
    const auto read = std::get<GossipMessage>(*MembershipFromWire(message));
    EXPECT_EQ(read.records, (std::vector<InstanceRecord>{good, good}))
        << address;
  }
}

}  // namespace
}  // namespace hibiscusglade
