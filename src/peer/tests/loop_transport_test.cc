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
    EXPECT_FALSE(y_->Listen(address_of_y_));
    y_->SetReceiver([this](const std::string&, const ReturnPath& path,
                           const wire::Envelope& message) {
      at_y_.push_back(message.call_cancel().attempt());
      wire::Envelope answer;
      answer.mutable_call_cancel()->set_attempt("answer");
      y_->Reply(path, answer);
    });
    x_->SetReceiver([this](const std::string& from, const ReturnPath&,
                           const wire::Envelope& message) {
      at_x_.push_back(from + " " + message.call_cancel().attempt());
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
  void Turn(int turns = 20) {
    for (int i = 0; i < turns; ++i) x_->Poll(-1, milliseconds(2));
  }

  // Tests run beside each other, each in a process of its own.
  const std::string address_of_y_ =
      "127.0.0.1:" + std::to_string(20000 + getpid() % 10000);
  static constexpr char kNobody[] = "127.0.0.1:17742";

  SteadyClock clock_;
  EventLoop loop_{clock_};
  std::unique_ptr<Metrics> metrics_ = MakeMetrics();
  std::unique_ptr<PeerTransport> x_ = MakeLoopTransport(
      {"mesh", "x", "a", 1, ""}, "request", loop_, clock_, *metrics_);
  std::unique_ptr<PeerTransport> y_ = MakeLoopTransport(
      {"mesh", "y", "a", 1, ""}, "request", loop_, clock_, *metrics_);
  std::vector<std::string> at_x_;
  std::vector<std::string> at_y_;
  std::vector<std::pair<std::string, bool>> lost_;
};

TEST_F(TwoDaemonsOnOneLoop, ExchangeMessagesInOrder) {
  Send(address_of_y_, "1");
  Send(address_of_y_, std::string(300'000, 'x'));
  Send(address_of_y_, "3");
  Turn();
  ASSERT_EQ(at_y_.size(), 3u);
  EXPECT_EQ(at_y_[0], "1");
  EXPECT_EQ(at_y_[1].size(), 300'000u);
  EXPECT_EQ(at_y_[2], "3");
  EXPECT_EQ(at_x_[0], address_of_y_ + " answer");
}

TEST_F(TwoDaemonsOnOneLoop, SendNothingOnAConnectionThatIsNotThereYet) {
  Send(address_of_y_, "1");
  Turn();
  // The next connection gets the descriptor of the one that is dropped with a
  // message still to leave.
  Send(address_of_y_, "2");
  x_->Reset(address_of_y_);
  Send(address_of_y_, "3");
  Turn();
  EXPECT_EQ(at_y_, (std::vector<std::string>{"1", "3"}));
  EXPECT_TRUE(lost_.empty());
}

class ALostConnection : public TwoDaemonsOnOneLoop {};

TEST_F(ALostConnection, IsToldAtOnceWhenItsPeerEnds) {
  Send(address_of_y_, "1");
  Turn();
  y_.reset();
  Turn();
  ASSERT_EQ(lost_.size(), 1u);
  EXPECT_EQ(lost_[0], std::pair(address_of_y_, true));
}

TEST_F(ALostConnection, ThatNeverWasIsToldAsSuch) {
  Send(kNobody, "1");
  Turn();
  ASSERT_EQ(lost_.size(), 1u);
  EXPECT_EQ(lost_[0], std::pair(std::string(kNobody), false));
}

/// A listener whose queue is full: connections to it hang, as across a cut.
class CutOffPeer {
 public:
  explicit CutOffPeer(uint16_t port) {
    address_.sin_family = AF_INET;
    address_.sin_port = htons(port);
    address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const int yes = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const auto* plain = reinterpret_cast<const sockaddr*>(&address_);
    EXPECT_EQ(bind(listener_, plain, sizeof(address_)), 0);
    EXPECT_EQ(listen(listener_, 0), 0);
    for (int& filler : fillers_) {
      filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      // The ones beyond the queue stay in the making.
      const int made = connect(filler, plain, sizeof(address_));
      EXPECT_TRUE(made == 0 || errno == EINPROGRESS);
    }
  }
  ~CutOffPeer() {
    for (int one : open_) close(one);
    for (int filler : fillers_) close(filler);
    close(listener_);
  }

  /// The cut heals: there is room for connections again.
  void Heal() {
    for (int filler : fillers_) shutdown(filler, SHUT_RDWR);
    Accept();
  }

  /// @return bytes that have arrived on all connections.
  size_t Received() {
    Accept();
    size_t bytes = 0;
    for (int one : open_) {
      char buffer[512];
      const ssize_t got = recv(one, buffer, sizeof(buffer), 0);
      if (got > 0) bytes += static_cast<size_t>(got);
    }
    return bytes;
  }

 private:
  void Accept() {
    for (int taken = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
         taken >= 0;
         taken = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK)) {
      open_.push_back(taken);
    }
  }

  sockaddr_in address_{};
  int listener_ = -1;
  int fillers_[3] = {-1, -1, -1};
  std::vector<int> open_;
};

class TwoPeersCutOffAtOnce : public TwoDaemonsOnOneLoop {};

TEST_F(TwoPeersCutOffAtOnce, GetNothingThatIsToldAsNeverSent) {
  CutOffPeer one(17743);
  CutOffPeer two(17744);
  const std::string first = "127.0.0.1:17743";
  const std::string second = "127.0.0.1:17744";
  // What was for the first goes to the second, as an entry does.
  x_->SetLossListener([&](const std::string& address, bool reached) {
    lost_.emplace_back(address, reached);
    if (address != first) return;
    two.Heal();
    Send(second, "again");
  });
  Send(first, "1");
  Send(second, "2");
  for (int i = 0; i < 200 && lost_.size() < 2; ++i) Turn(10);
  ASSERT_EQ(lost_.size(), 2u);
  EXPECT_EQ(lost_[1], std::pair(second, false));
  for (int i = 0; i < 20; ++i) {
    Turn(5);
    EXPECT_EQ(two.Received(), 0u);
  }
}

}  // namespace
}  // namespace hibiscusglade
