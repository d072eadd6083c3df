#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <optional>
#include <thread>
#include <utility>

#include "upstream/http_upstream_client.h"

namespace hibiscusglade {
namespace {

using std::chrono::seconds;

constexpr char kNotRun[] = "X-Not-Run";

/// Sends bytes without end in answer to one request, until it is closed.
class AnEndlessUpstream {
 public:
  /// @param begin sent once.
  /// @param repeated sent again and again.
  AnEndlessUpstream(std::string begin, std::string repeated)
      : begin_(std::move(begin)), repeated_(std::move(repeated)) {
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
    thread_ = std::thread([this] { Serve(); });
  }
  ~AnEndlessUpstream() {
    shutdown(listener_, SHUT_RDWR);
    shutdown(connection_, SHUT_RDWR);
    thread_.join();
    close(connection_);
    close(listener_);
  }
  AnEndlessUpstream(const AnEndlessUpstream&) = delete;
  AnEndlessUpstream& operator=(const AnEndlessUpstream&) = delete;

  const std::string& Address() const { return address_; }
  bool Closed() const { return closed_; }

 private:
  void Serve() {
    connection_ = accept(listener_, nullptr, nullptr);
    std::string request(4096, ' ');
    recv(connection_, request.data(), request.size(), 0);
    bool open = Send(begin_);
    while (open) open = Send(repeated_);
    closed_ = true;
  }

  bool Send(const std::string& bytes) const {
    return send(connection_, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0 ||
           bytes.empty();
  }

  const std::string begin_;
  const std::string repeated_;
  int listener_ = -1;
  std::atomic<int> connection_{-1};
  std::atomic<bool> closed_{false};
  std::string address_;
  std::thread thread_;
};

/// Takes answers with a certain field as not run.
class DialectWithNotRun : public UpstreamDialect {
 public:
  std::vector<HeaderField> RequestFields(
      const CallAttempt&, std::chrono::milliseconds) const override {
    return {};
  }
  AnswerHeadKind ClassifyHead(const CallAttempt&,
                              const AnswerHead& head) const override {
    for (const HeaderField& field : head.headers) {
      if (field.name == kNotRun) return AnswerHeadKind::kNotRun;
    }
    return AnswerHeadKind::kAnswer;
  }
};

class ARun : public testing::Test, protected RunEvents {
 protected:
  /// Sends a request with a deadline in a minute.
  /// @return how it failed; nullopt when it has not failed after `max_wait`.
  std::optional<RunFailure> RunAt(const AnEndlessUpstream& upstream,
                                  Duration max_wait = seconds(5)) {
    CallAttempt attempt;
    attempt.id = "a1";
    attempt.request.method = "GET";
    attempt.request.target = "/plots/1";
    attempt.repeatable = true;
    attempt.remaining = seconds(60);
    attempt.credit_bytes = 64 * 1024;
    client_->Start(1, upstream.Address(), attempt);
    const Instant end = clock_.Now() + max_wait;
    while (!failure_.has_value() && clock_.Now() < end) {
      loop_.RunOnce(std::chrono::milliseconds(50));
    }
    return failure_;
  }

  bool IsClosed(const AnEndlessUpstream& upstream) {
    const Instant end = clock_.Now() + seconds(5);
    while (!upstream.Closed() && clock_.Now() < end) {
      loop_.RunOnce(std::chrono::milliseconds(10));
    }
    return upstream.Closed();
  }

  /// Expects a run to fail, and its connection to be closed.
  void ExpectFailure(const AnEndlessUpstream& upstream, RunProgress progress) {
    const auto failure = RunAt(upstream);
    ASSERT_TRUE(failure.has_value());
    EXPECT_EQ(failure->progress, progress);
    EXPECT_TRUE(IsClosed(upstream));
  }

  void OnRunHead(RunId, const AnswerHead&, Instant) override {}
  void OnRunData(RunId, std::string data, Instant) override {
    body_bytes_ += data.size();
  }
  void OnRunEnd(RunId, Instant) override { ADD_FAILURE() << "the run ended"; }
  void OnRunFailed(RunId, const RunFailure& failure, Instant) override {
    failure_ = failure;
  }
  void OnProbed(bool, Instant) override {}

  SteadyClock clock_;
  EventLoop loop_{clock_};
  DialectWithNotRun dialect_;
  std::unique_ptr<UpstreamClient> client_ = MakeHttpUpstreamClient(
      {10, std::chrono::milliseconds(500), dialect_}, *this, loop_, clock_);
  std::optional<RunFailure> failure_;
  size_t body_bytes_ = 0;
};

TEST_F(ARun, FailsWhenAHeadHasFieldsWithoutEnd) {
  AnEndlessUpstream upstream("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n");
  ExpectFailure(upstream, RunProgress::kSent);
}

TEST_F(ARun, FailsWhenAFieldHasNoEnd) {
  AnEndlessUpstream upstream("HTTP/1.1 200 OK\r\nX-Field: ",
                             std::string(1000, 'a'));
  ExpectFailure(upstream, RunProgress::kSent);
}

TEST_F(ARun, FailsWhenPreliminaryHeadsHaveNoEnd) {
  AnEndlessUpstream upstream("", "HTTP/1.1 103 Early Hints\r\n\r\n");
  ExpectFailure(upstream, RunProgress::kSent);
}

TEST_F(ARun, FailsWhenTheBytesAreNoAnswer) {
  AnEndlessUpstream upstream("", std::string(1000, '#'));
  ExpectFailure(upstream, RunProgress::kSent);
}

TEST_F(ARun, IsNotRunAtOnceWhenARejectionHasNoEnd) {
  AnEndlessUpstream upstream(
      std::string("HTTP/1.1 503 Busy\r\n") + kNotRun + ": 1\r\n\r\n",
      std::string(1000, 'b'));
  ExpectFailure(upstream, RunProgress::kRejected);
}

TEST_F(ARun, ReadsNoMoreOfABodyWithoutEndThanItsCallerReads) {
  AnEndlessUpstream upstream("HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'c'));
  EXPECT_FALSE(RunAt(upstream, seconds(1)).has_value());
  EXPECT_LT(body_bytes_, 128U * 1024);
  client_->Cancel(1);
  EXPECT_TRUE(IsClosed(upstream));
}

}  // namespace
}  // namespace hibiscusglade
