#include "requests/internal/request_parts.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <algorithm>

#include "base/metrics.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

/// Records who sent the messages that it takes.
class SenderList : public RequestPart {
 public:
  explicit SenderList(std::vector<std::string>& senders) : senders_(senders) {}
  bool OnPeerMessage(const std::string&, const ReturnPath&,
                     const wire::Envelope& message, Instant) override {
    senders_.push_back(message.instance() + " in " + message.failure_domain());
    return true;
  }
  void OnTick(Instant) override {}

 private:
  std::vector<std::string>& senders_;
};

// A connection's later messages came without a sender, so that reports of the
// own failure domain were taken for those of an unnamed one.
TEST(PartsOfTwoDaemons, LearnTheSenderOfEachMessage) {
  const std::string address =
      "127.0.0.1:" + std::to_string(30000 + getpid() % 10000);
  SteadyClock clock;
  EventLoop loop(clock);
  const std::unique_ptr<Metrics> metrics = MakeMetrics();
  const PeerIdentity x{"mesh", "x", "a", 1, ""};
  const PeerIdentity y{"mesh", "y", "b", 1, ""};
  const auto from = MakeTcpTransport(x, "request", loop, clock, *metrics);
  const auto to = MakeTcpTransport(y, "request", loop, clock, *metrics);
  std::vector<std::string> senders;
  RequestParts sending(x, "unused", *from, loop, clock);
  RequestParts receiving(y, address, *to, loop, clock);
  receiving.Add(std::make_unique<SenderList>(senders));
  ASSERT_FALSE(to->Listen(address));
  to->SetReceiver([&](const std::string& peer, const ReturnPath& path,
                      const wire::Envelope& message) {
    receiving.OnPeerMessage(peer, path, message, clock.Now());
  });
  for (int i = 0; i < 3; ++i) {
    wire::Envelope message;
    message.mutable_room_plan();
    sending.Sender()(address, message);
  }
  wire::Envelope to_itself;
  to_itself.mutable_room_plan();
  receiving.Sender()(address, to_itself);
  for (int i = 0; i < 20; ++i) from->Poll(-1, milliseconds(2));
  ASSERT_EQ(senders.size(), 4U);
  EXPECT_EQ(std::ranges::count(senders, "x in a"), 3);
  EXPECT_EQ(std::ranges::count(senders, "y in b"), 1);
}

}  // namespace
}  // namespace hibiscusglade
