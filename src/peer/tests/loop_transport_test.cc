#include <gtest/gtest.h>

#include "base/metrics.h"
#include "peer/peer_transport.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

class TwoDaemonsOnOneLoop : public testing::Test {
 protected:
  TwoDaemonsOnOneLoop() {
    EXPECT_FALSE(y_->Listen(kAddressOfY));
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

  static constexpr char kAddressOfY[] = "127.0.0.1:17741";
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
  Send(kAddressOfY, "1");
  Send(kAddressOfY, std::string(300'000, 'x'));
  Send(kAddressOfY, "3");
  Turn();
  ASSERT_EQ(at_y_.size(), 3u);
  EXPECT_EQ(at_y_[0], "1");
  EXPECT_EQ(at_y_[1].size(), 300'000u);
  EXPECT_EQ(at_y_[2], "3");
  EXPECT_EQ(at_x_[0], std::string(kAddressOfY) + " answer");
}

TEST_F(TwoDaemonsOnOneLoop, SendNothingOnAConnectionThatIsNotThereYet) {
  Send(kAddressOfY, "1");
  Turn();
  // The next connection gets the descriptor of the one that is dropped with a
  // message still to leave.
  Send(kAddressOfY, "2");
  x_->Reset(kAddressOfY);
  Send(kAddressOfY, "3");
  Turn();
  EXPECT_EQ(at_y_, (std::vector<std::string>{"1", "3"}));
  EXPECT_TRUE(lost_.empty());
}

class ALostConnection : public TwoDaemonsOnOneLoop {};

TEST_F(ALostConnection, IsToldAtOnceWhenItsPeerEnds) {
  Send(kAddressOfY, "1");
  Turn();
  y_.reset();
  Turn();
  ASSERT_EQ(lost_.size(), 1u);
  EXPECT_EQ(lost_[0], std::pair(std::string(kAddressOfY), true));
}

TEST_F(ALostConnection, ThatNeverWasIsToldAsSuch) {
  Send(kNobody, "1");
  Turn();
  ASSERT_EQ(lost_.size(), 1u);
  EXPECT_EQ(lost_[0], std::pair(std::string(kNobody), false));
}

}  // namespace
}  // namespace hibiscusglade
