#include <gtest/gtest.h>
#include <unistd.h>

#include "base/metrics.h"
#include "peer/peer_transport.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {
namespace {

class ADaemonWithOddAddresses : public testing::Test {
 protected:
  /// Sends a message to each odd address, and one to a good address after it.
  void ExpectRefused(PeerTransport& transport) const {
    for (const char* address :
         {"", ":", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
          "10.0.0.1:99999999999999999999", "10.0.0.1:-1", "10.0.0.1:80x",
          "10.0.0.256:80", "fd00::1:9000", "no host:80", "host:80", "[[[[:80",
          "10.0.0.1;10.0.0.2:80"}) {
      wire::Envelope message;
      EXPECT_TRUE(transport.Send(address, message)) << address;
      EXPECT_FALSE(transport.Send("127.0.0.1:17745", message)) << address;
    }
    EXPECT_EQ(transport.OpenConnections(), 1u);
    EXPECT_NE(
        metrics_->Exposition().find("peer_refusals_total{code=\"9002\"} 15"),
        std::string::npos)
        << metrics_->Exposition();
  }

  const PeerIdentity identity_{"mesh", "x", "a", 1, "127.0.0.1"};
  SteadyClock clock_;
  std::unique_ptr<Metrics> metrics_ = MakeMetrics();
};

TEST_F(ADaemonWithOddAddresses, SendsControlMessagesToTheOthers) {
  const auto transport =
      MakeZmqTransport(identity_, "control", clock_, *metrics_);
  ExpectRefused(*transport);
}

TEST_F(ADaemonWithOddAddresses, SendsRequestsToTheOthers) {
  EventLoop loop(clock_);
  const auto transport =
      MakeTcpTransport(identity_, "request", loop, clock_, *metrics_);
  ExpectRefused(*transport);
}

}  // namespace
}  // namespace hibiscusglade
