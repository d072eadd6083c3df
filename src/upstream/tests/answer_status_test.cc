#include "upstream/tests/scripted_upstream.h"
#include "upstream/tests/status_lines.h"

namespace hibiscusglade {
namespace {

using Counts = std::vector<int>;

constexpr char kFields[] = "\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nab";
constexpr char kWhole[] =
    "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nab";

class AStatusLine : public RunFixture {
 protected:
  void Run(const AScriptedUpstream& upstream) {
    Start(upstream.Address(), "r1", "GET", false);
    ASSERT_TRUE(Finished());
  }

  void ExpectAnswered(const AScriptedUpstream& upstream) {
    Run(upstream);
    EXPECT_TRUE(ended_) << (failure_ ? failure_->reason : "");
    EXPECT_EQ(body_, "ab");
  }

  void ExpectNoAnswer(const AScriptedUpstream& upstream) {
    Run(upstream);
    EXPECT_FALSE(ended_);
    EXPECT_FALSE(head_.has_value());
    EXPECT_EQ(body_, "");
    ASSERT_TRUE(failure_.has_value());
    EXPECT_EQ(failure_->progress, RunProgress::kSent);
  }
};

// Guards against a status such as 000 that reaches the caller as an answer.
TEST_F(AStatusLine, WithoutAStatusBeginsNoAnswerAndItsConnectionIsDropped) {
  for (const char* line : kNoStatusLines) {
    SCOPED_TRACE(line);
    AScriptedUpstream upstream(
        {{{line + std::string(kFields)}, {kWhole}}, {{kWhole}}});
    ExpectNoAnswer(upstream);
    ExpectAnswered(upstream);
    EXPECT_EQ(upstream.Requests(), Counts({1, 1}));
  }
}

TEST_F(AStatusLine, WithoutAStatusIsNoneBeforeOrAfterAnotherHead) {
  for (const char* line : kNoStatusLines) {
    SCOPED_TRACE(line);
    AScriptedUpstream before({{{line + std::string("\r\n\r\n") + kWhole}}});
    ExpectNoAnswer(before);
    AScriptedUpstream after(
        {{{"HTTP/1.1 103 Early Hints\r\n\r\n" + (line + std::string(kFields)),
           ConnectionEnd::kClosed}}});
    ExpectNoAnswer(after);
  }
}

TEST_F(AStatusLine, WithAStatusBeginsAnAnswer) {
  for (const auto& [line, status] : kStatusLines) {
    SCOPED_TRACE(line);
    AScriptedUpstream upstream(
        {{{line + std::string(kFields), ConnectionEnd::kClosed}}});
    ExpectAnswered(upstream);
    ASSERT_TRUE(head_.has_value());
    EXPECT_EQ(head_->status, status);
  }
}

TEST_F(AStatusLine, OfAPreliminaryHeadIsPassedOver) {
  AScriptedUpstream upstream(
      {{{std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n"
                     "X-Id: r0\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n") +
         kWhole},
        {kWhole}}});
  ExpectAnswered(upstream);
  EXPECT_EQ(head_->status, 200);
  ExpectAnswered(upstream);
  EXPECT_EQ(upstream.Requests(), Counts({2}));
}

constexpr char kSecondAnswer[] =
    "HTTP/1.1 404 Not Found\r\nContent-Length: 1\r\n\r\nc";

// Guards against the second of two answers that is taken by the next request.
TEST_F(AStatusLine, BehindAWholeAnswerIsNotReadForTheNextRequest) {
  AScriptedUpstream upstream(
      {{{std::string(kWhole) + kSecondAnswer}, {kWhole}}, {{kWhole}}});
  ExpectAnswered(upstream);
  ExpectAnswered(upstream);
  EXPECT_EQ(upstream.Requests(), Counts({1, 1}));
}

/// libcurl drops what it reads behind the last chunk, without telling.
TEST_F(AStatusLine, BehindALastChunkIsNotReadForTheNextRequest) {
  AScriptedUpstream upstream(
      {{{std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "2\r\nab\r\n0\r\n\r\n") +
         kSecondAnswer},
        {kWhole}},
       {{kWhole}}});
  ExpectAnswered(upstream);
  ExpectAnswered(upstream);
  EXPECT_EQ(head_->status, 200);
}

}  // namespace
}  // namespace hibiscusglade
