#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "base/metrics.h"
#include "peer/peer_transport.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {
namespace {

constexpr size_t kBacklogBytes = size_t{8} << 20U;
constexpr size_t kChunkBytes = size_t{16} << 10U;
constexpr size_t kReadBytes = size_t{64} << 10U;

/// A peer that reads slower than this daemon sends.
class ALinkToASlowPeer : public testing::Test {
 protected:
  ALinkToASlowPeer() {
    listener_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(bind(listener_, generic, length), 0);
    EXPECT_EQ(listen(listener_, 1), 0);
    EXPECT_EQ(getsockname(listener_, generic, &length), 0);
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    Send();
    peer_ = accept(listener_, nullptr, nullptr);
  }
  ~ALinkToASlowPeer() override {
    close(peer_);
    close(listener_);
  }

  void Send() {
    wire::Envelope message;
    message.mutable_answer_chunk()->set_data(std::string(kChunkBytes, 'x'));
    EXPECT_FALSE(transport_->Send(address_, message));
  }
  void Poll() { transport_->Poll(-1, Duration{}); }

  /// @return the number of bytes read; zero when none have arrived.
  size_t Read() {
    const ssize_t received =
        recv(peer_, buffer_.data(), buffer_.size(), MSG_DONTWAIT);
    return received > 0 ? static_cast<size_t>(received) : 0;
  }

  /// Keeps a backlog queued until the peer has read `bytes`.
  void SendWhileThePeerReads(size_t bytes) {
    for (size_t read = 0; read < bytes; read += Read()) {
      while (transport_->Usage().unsent_bytes < kBacklogBytes) Send();
      Poll();
    }
  }

  SteadyClock clock_;
  EventLoop loop_{clock_};
  std::unique_ptr<Metrics> metrics_ = MakeMetrics();
  std::unique_ptr<PeerTransport> transport_ = MakeTcpTransport(
      {"mesh", "x", "a", 1, ""}, "request", loop_, clock_, *metrics_);
  int listener_ = -1;
  int peer_ = -1;
  std::string address_;
  std::vector<char> buffer_ = std::vector<char>(kReadBytes);
};

TEST_F(ALinkToASlowPeer, HoldsNoMoreThanFourTimesWhatIsNotSent) {
  SendWhileThePeerReads(5 * kBacklogBytes);
  EXPECT_LE(transport_->Usage().send_capacity, 4 * kBacklogBytes);
}

TEST_F(ALinkToASlowPeer, HoldsNothingOnceThePeerHasReadAll) {
  SendWhileThePeerReads(kBacklogBytes);
  while (transport_->Usage().unsent_bytes > 0) {
    Read();
    Poll();
  }
  EXPECT_LE(transport_->Usage().send_capacity, kReadBytes);
}

}  // namespace
}  // namespace hibiscusglade
