#ifndef HIBISCUSGLADE_UPSTREAM_TESTS_RUN_FIXTURE_H_
#define HIBISCUSGLADE_UPSTREAM_TESTS_RUN_FIXTURE_H_

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "calls/field_values.h"
#include "upstream/http_upstream_client.h"

namespace hibiscusglade {

/// A socket that listens at a free port of the loopback address.
class LoopbackListener {
 public:
  LoopbackListener() {
    socket_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    EXPECT_EQ(bind(socket_, generic, length), 0);
    EXPECT_EQ(listen(socket_, 8), 0);
    EXPECT_EQ(getsockname(socket_, generic, &length), 0);
    address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }
  ~LoopbackListener() { close(socket_); }
  LoopbackListener(const LoopbackListener&) = delete;
  LoopbackListener& operator=(const LoopbackListener&) = delete;

  const std::string& Address() const { return address_; }

  /// @return a connection; -1 after Stop().
  int Accept() const { return accept(socket_, nullptr, nullptr); }
  void Stop() const { shutdown(socket_, SHUT_RDWR); }

 private:
  int socket_ = -1;
  std::string address_;
};

inline constexpr char kNotRun[] = "X-Not-Run";
inline constexpr char kOther[] = "X-Other-Upstream";
inline constexpr char kEchoedId[] = "X-Id";

/// Takes answers with a certain field as not run.
class DialectWithNotRun : public UpstreamDialect {
 public:
  static const DialectWithNotRun& Instance() {
    static const DialectWithNotRun dialect;
    return dialect;
  }
  std::vector<HeaderField> RequestFields(
      const CallAttempt&, std::chrono::milliseconds) const override {
    return {};
  }
  AnswerHeadKind ClassifyHead(const CallAttempt& attempt,
                              const AnswerHead& head) const override {
    AnswerHeadKind kind = AnswerHeadKind::kAnswer;
    for (const HeaderField& field : head.headers) {
      if (field.name == kEchoedId &&
          field.value != attempt.request.request_id) {
        return AnswerHeadKind::kMismatched;
      }
      if (field.name == kNotRun) kind = AnswerHeadKind::kNotRun;
      if (field.name == kOther) kind = AnswerHeadKind::kOtherUpstream;
    }
    return kind;
  }
  bool NamesRequest(const CallAttempt&, const AnswerHead& head) const override {
    return FindField(head.headers, kEchoedId) != nullptr;
  }
};

/// Runs requests with a deadline in a minute.
class RunFixture : public testing::Test, protected RunEvents {
 protected:
  RunFixture() : RunFixture(DialectWithNotRun::Instance()) {}
  explicit RunFixture(const UpstreamDialect& dialect)
      : client_(MakeHttpUpstreamClient(
            {10, std::chrono::milliseconds(500), dialect}, *this, loop_,
            clock_)) {}

  /// Sends a request, and forgets what became of the one before.
  void Start(const std::string& address, const std::string& request_id = "r1",
             const std::string& method = "GET", bool repeatable = true) {
    failure_.reset();
    head_.reset();
    ended_ = false;
    body_.clear();
    CallAttempt attempt;
    attempt.id = "a1";
    attempt.request.request_id = request_id;
    attempt.request.method = method;
    attempt.request.target = "/plots/1";
    attempt.repeatable = repeatable;
    attempt.claimed = false;
    attempt.remaining = std::chrono::seconds(60);
    attempt.credit_bytes = 64 * 1024;
    client_->Start(++last_run_, address, attempt);
  }

  /// @return whether the run ended or failed within `max_wait`.
  bool Finished(Duration max_wait = std::chrono::seconds(5)) {
    return WaitUntil([this] { return ended_ || failure_.has_value(); },
                     max_wait);
  }

  bool WaitUntil(const std::function<bool()>& condition,
                 Duration max_wait = std::chrono::seconds(5)) {
    const Instant end = clock_.Now() + max_wait;
    while (!condition() && clock_.Now() < end) {
      loop_.RunOnce(std::chrono::milliseconds(10));
    }
    return condition();
  }

  void OnRunHead(RunId, const AnswerHead& head, Instant) override {
    head_ = head;
  }
  void OnRunData(RunId, std::string data, Instant) override { body_ += data; }
  void OnRunEnd(RunId, Instant) override { ended_ = true; }
  void OnRunFailed(RunId, const RunFailure& failure, Instant) override {
    failure_ = failure;
  }
  void OnProbed(bool, Instant) override {}

  SteadyClock clock_;
  EventLoop loop_{clock_};
  std::unique_ptr<UpstreamClient> client_;
  RunId last_run_ = 0;
  std::optional<RunFailure> failure_;
  std::optional<AnswerHead> head_;
  bool ended_ = false;
  std::string body_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_UPSTREAM_TESTS_RUN_FIXTURE_H_
