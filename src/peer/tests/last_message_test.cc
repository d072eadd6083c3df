#include <gtest/gtest.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/metrics.h"
#include "peer/peer_transport.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

/// A daemon that says that it leaves and ends at once.
class ADaemonThatEnds : public testing::Test {
 protected:
  static constexpr int kDaemons = 100;

  ADaemonThatEnds() {
    EXPECT_FALSE(peer_->Listen(peer_address_));
    peer_->SetReceiver([this](const std::string&, const ReturnPath&,
                              const wire::Envelope& message) {
      received_.push_back(message.call_cancel().attempt());
    });
  }
  ~ADaemonThatEnds() override { close(wake_descriptor_); }

  std::unique_ptr<PeerTransport> MakeSender() {
    return MakeZmqTransport({"mesh", "x", "a", 1, ""}, "control", clock_,
                            *metrics_);
  }

  void Send(PeerTransport& sender, const std::string& text) const {
    wire::Envelope message;
    message.mutable_call_cancel()->set_attempt(text);
    EXPECT_FALSE(sender.Send(peer_address_, message));
  }

  /// Lets the peer receive until it has `count` messages, or for half a second.
  void Receive(size_t count) {
    const Instant end = clock_.Now() + milliseconds(500);
    while (received_.size() < count && clock_.Now() < end) {
      peer_->Poll(wake_descriptor_, milliseconds(10));
    }
  }

  const std::string peer_address_ =
      "127.0.0.1:" + std::to_string(20000 + getpid() % 10000);
  SteadyClock clock_;
  std::unique_ptr<Metrics> metrics_ = MakeMetrics();
  int wake_descriptor_ = eventfd(0, EFD_NONBLOCK);
  std::unique_ptr<PeerTransport> peer_ =
      MakeZmqTransport({"mesh", "y", "a", 1, ""}, "control", clock_, *metrics_);
  std::vector<std::string> received_;
};

TEST_F(ADaemonThatEnds, DeliversItsLastMessageToAPeer) {
  for (int i = 0; i < kDaemons; ++i) {
    received_.clear();
    auto sender = MakeSender();
    Send(*sender, "first");
    Receive(1);
    ASSERT_EQ(received_.size(), 1U);
    Send(*sender, "last");
    sender.reset();
    Receive(2);
    ASSERT_EQ(received_.size(), 2U) << "daemon " << i;
    EXPECT_EQ(received_.back(), "last");
  }
}

TEST_F(ADaemonThatEnds, DeliversItsLastMessageToAPeerNotYetConnected) {
  for (int i = 0; i < kDaemons; ++i) {
    received_.clear();
    auto sender = MakeSender();
    Send(*sender, "last");
    sender.reset();
    Receive(1);
    ASSERT_EQ(received_.size(), 1U) << "daemon " << i;
  }
}

}  // namespace
}  // namespace hibiscusglade
