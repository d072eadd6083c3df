#include <atomic>
#include <thread>
#include <utility>

#include "upstream/tests/scripted_upstream.h"

namespace hibiscusglade {
namespace {

using std::chrono::seconds;

/// Sends bytes without end in answer to one request, until it is closed.
class AnEndlessUpstream {
 public:
  /// @param begin sent once.
  /// @param repeated sent again and again.
  AnEndlessUpstream(std::string begin, std::string repeated)
      : begin_(std::move(begin)), repeated_(std::move(repeated)) {
    thread_ = std::thread([this] { Serve(); });
  }
  ~AnEndlessUpstream() {
    listener_.Stop();
    shutdown(connection_, SHUT_RDWR);
    thread_.join();
    close(connection_);
  }
  AnEndlessUpstream(const AnEndlessUpstream&) = delete;
  AnEndlessUpstream& operator=(const AnEndlessUpstream&) = delete;

  const std::string& Address() const { return listener_.Address(); }
  bool Closed() const { return closed_; }

 private:
  void Serve() {
    connection_ = listener_.Accept();
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
  LoopbackListener listener_;
  std::atomic<int> connection_{-1};
  std::atomic<bool> closed_{false};
  std::thread thread_;
};

class ARun : public RunFixture {
 protected:
  bool IsClosed(const AnEndlessUpstream& upstream) {
    return WaitUntil([&] { return upstream.Closed(); });
  }

  /// Expects a run to fail, and its connection to be closed.
  void ExpectFailure(const AnEndlessUpstream& upstream, RunProgress progress) {
    Start(upstream.Address());
    ASSERT_TRUE(Finished());
    ASSERT_TRUE(failure_.has_value()) << "the run ended";
    EXPECT_EQ(failure_->progress, progress);
    EXPECT_TRUE(IsClosed(upstream));
    EXPECT_FALSE(ended_);
  }
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

constexpr char kChunkedHead[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Guards against a trailer that is kept in memory until the caller closes.
TEST_F(ARun, FailsWhenATrailerHasFieldsWithoutEnd) {
  AnEndlessUpstream upstream(std::string(kChunkedHead) + "1\r\na\r\n0\r\n",
                             "X-Field: value\r\n");
  ExpectFailure(upstream, RunProgress::kAnswering);
  EXPECT_EQ(failure_->reason, "its trailer has no end");
}

TEST_F(ARun, FailsWhenATrailerFieldHasNoEnd) {
  AnEndlessUpstream upstream(
      std::string(kChunkedHead) + "1\r\na\r\n0\r\nX-Field: ",
      std::string(1000, 'a'));
  ExpectFailure(upstream, RunProgress::kAnswering);
}

// Guards against a core that is busy with bytes of no use until the deadline.
TEST_F(ARun, FailsWhenTheExtensionOfAChunkHasNoEnd) {
  AnEndlessUpstream upstream(std::string(kChunkedHead) + "1;x=",
                             std::string(1000, 'a'));
  ExpectFailure(upstream, RunProgress::kAnswering);
}

TEST_F(ARun, MayHaveATrailer) {
  AScriptedUpstream upstream({{{std::string(kChunkedHead) +
                                "1;x=y\r\na\r\n0\r\nX-Field: value\r\n\r\n"}}});
  Start(upstream.Address());
  ASSERT_TRUE(Finished());
  EXPECT_TRUE(ended_);
  EXPECT_EQ(body_, "a");
}

TEST_F(ARun, IsNotRunAtOnceWhenARejectionHasNoEnd) {
  AnEndlessUpstream upstream(
      std::string("HTTP/1.1 503 Busy\r\n") + kNotRun + ": 1\r\n\r\n",
      std::string(1000, 'b'));
  ExpectFailure(upstream, RunProgress::kRejected);
}

TEST_F(ARun, ReadsNoMoreOfABodyWithoutEndThanItsCallerReads) {
  AnEndlessUpstream upstream("HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'c'));
  Start(upstream.Address());
  EXPECT_FALSE(Finished(seconds(1)));
  EXPECT_LT(body_.size(), 128U * 1024);
  client_->Cancel(1);
  EXPECT_TRUE(IsClosed(upstream));
}

}  // namespace
}  // namespace hibiscusglade
