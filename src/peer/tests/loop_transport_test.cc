#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/metrics.h"
#include "peer/peer_transport.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

class TwoDaemonsOnOneLoop : public testing::Test {
 protected:
  TwoDaemonsOnOneLoop() {
    EXPECT_FALSE(y_->Listen(y_address_));
    y_->SetReceiver([this](const std::string&, const ReturnPath& path,
                           const wire::Envelope& message) {
      received_by_y_.push_back(message.call_cancel().attempt());
      wire::Envelope answer;
      answer.mutable_call_cancel()->set_attempt("answer");
      y_->Reply(path, answer);
    });
    x_->SetReceiver([this](const std::string& from, const ReturnPath&,
                           const wire::Envelope& message) {
      received_by_x_.push_back(from + " " + message.call_cancel().attempt());
    });
    x_->SetLossListener([this](const std::string& address, bool reached) {
      lost_.emplace_back(address, reached);
    });
  }

  void Send(const std::string& address, const std::string& attempt) {
    wire::Envelope message;
    message.mutable_call_cancel()->set_attempt(attempt);
    x_->Send(address, message);
  }
  void PollRepeatedly(int times = 20) {
    for (int i = 0; i < times; ++i) x_->Poll(-1, milliseconds(2));
  }

  // Tests run in parallel processes, so each process listens on its own port.
  const std::string y_address_ =
      "127.0.0.1:" + std::to_string(20000 + getpid() % 10000);
  static constexpr char kUnusedAddress[] = "127.0.0.1:17742";

  SteadyClock clock_;
  EventLoop loop_{clock_};
  std::unique_ptr<Metrics> metrics_ = MakeMetrics();
  std::unique_ptr<PeerTransport> x_ = MakeTcpTransport(
      {"mesh", "x", "a", 1, ""}, "request", loop_, clock_, *metrics_);
  std::unique_ptr<PeerTransport> y_ = MakeTcpTransport(
      {"mesh", "y", "a", 1, ""}, "request", loop_, clock_, *metrics_);
  std::vector<std::string> received_by_x_;
  std::vector<std::string> received_by_y_;
  std::vector<std::pair<std::string, bool>> lost_;
};

TEST_F(TwoDaemonsOnOneLoop, ExchangeMessagesInOrder) {
  Send(y_address_, "1");
  Send(y_address_, std::string(300'000, 'x'));
  Send(y_address_, "3");
  PollRepeatedly();
  ASSERT_EQ(received_by_y_.size(), 3u);
  EXPECT_EQ(received_by_y_[0], "1");
  EXPECT_EQ(received_by_y_[1].size(), 300'000u);
  EXPECT_EQ(received_by_y_[2], "3");
  EXPECT_EQ(received_by_x_[0], y_address_ + " answer");
}

TEST_F(TwoDaemonsOnOneLoop, DiscardQueuedMessagesOfADroppedConnection) {
  Send(y_address_, "1");
  PollRepeatedly();
  // "2" is still queued when its connection is dropped, and the next connection
  // gets the same descriptor: "2" must not be sent on it.
  Send(y_address_, "2");
  x_->Reset(y_address_);
  Send(y_address_, "3");
  PollRepeatedly();
  EXPECT_EQ(received_by_y_, (std::vector<std::string>{"1", "3"}));
  EXPECT_TRUE(lost_.empty());
}

class ALostConnection : public TwoDaemonsOnOneLoop {};

TEST_F(ALostConnection, IsReportedWhenItsPeerCloses) {
  Send(y_address_, "1");
  PollRepeatedly();
  y_.reset();
  PollRepeatedly();
  ASSERT_EQ(lost_.size(), 1u);
  EXPECT_EQ(lost_[0], std::pair(y_address_, true));
}

TEST_F(ALostConnection, IsReportedAsNeverEstablishedWhenConnectingFails) {
  Send(kUnusedAddress, "1");
  PollRepeatedly();
  ASSERT_EQ(lost_.size(), 1u);
  EXPECT_EQ(lost_[0], std::pair(std::string(kUnusedAddress), false));
}

/// A listener whose backlog is full: connections to it hang, as they do when
/// the network drops all packets.
class PeerWithFullBacklog {
 public:
  explicit PeerWithFullBacklog(uint16_t port) {
    address_.sin_family = AF_INET;
    address_.sin_port = htons(port);
    address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const int enable = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    const auto* generic_address = reinterpret_cast<const sockaddr*>(&address_);
    EXPECT_EQ(bind(listener_, generic_address, sizeof(address_)), 0);
    EXPECT_EQ(listen(listener_, 0), 0);
    for (int& filler : fillers_) {
      filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      // Those beyond the backlog stay in progress.
      const int result = connect(filler, generic_address, sizeof(address_));
      EXPECT_TRUE(result == 0 || errno == EINPROGRESS);
    }
  }
  ~PeerWithFullBacklog() {
    for (int accepted : open_) close(accepted);
    for (int filler : fillers_) close(filler);
    close(listener_);
  }

  /// Frees the backlog, so that pending connections are established.
  void FreeBacklog() {
    for (int filler : fillers_) shutdown(filler, SHUT_RDWR);
    Accept();
  }

  /// @return bytes received on all connections since the last call.
  size_t Received() {
    Accept();
    size_t bytes = 0;
    for (int accepted : open_) {
      char buffer[512];
      const ssize_t got = recv(accepted, buffer, sizeof(buffer), 0);
      if (got > 0) bytes += static_cast<size_t>(got);
    }
    return bytes;
  }

 private:
  void Accept() {
    for (int descriptor = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
         descriptor >= 0;
         descriptor = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK)) {
      open_.push_back(descriptor);
    }
  }

  sockaddr_in address_{};
  int listener_ = -1;
  int fillers_[3] = {-1, -1, -1};
  std::vector<int> open_;
};

class TwoPeersCutOffAtOnce : public TwoDaemonsOnOneLoop {};

TEST_F(TwoPeersCutOffAtOnce, ReceiveNothingThatIsReportedAsNeverSent) {
  PeerWithFullBacklog first_peer(17743);
  PeerWithFullBacklog second_peer(17744);
  const std::string first_address = "127.0.0.1:17743";
  const std::string second_address = "127.0.0.1:17744";
  // Both connections time out in the same pass. When the first is reported
  // lost, its message is sent to the second peer, as an entry does, and that
  // peer can be reached again. If the second loss were reported after that
  // pass, it would be mistaken for the loss of a new connection, on which the
  // message arrives.
  x_->SetLossListener([&](const std::string& address, bool reached) {
    lost_.emplace_back(address, reached);
    if (address != first_address) return;
    second_peer.FreeBacklog();
    Send(second_address, "again");
  });
  Send(first_address, "1");
  Send(second_address, "2");
  for (int i = 0; i < 200 && lost_.size() < 2; ++i) PollRepeatedly(10);
  ASSERT_EQ(lost_.size(), 2u);
  EXPECT_EQ(lost_[1], std::pair(second_address, false));
  for (int i = 0; i < 20; ++i) {
    PollRepeatedly(5);
    EXPECT_EQ(second_peer.Received(), 0u);
  }
}

}  // namespace
}  // namespace hibiscusglade
