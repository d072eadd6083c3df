#include "upstream/tests/scripted_upstream.h"

namespace hibiscusglade {
namespace {

constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\nX-Field: a long value\r\nContent-Length: 5\r\n\r\n";
constexpr char kHeadWithoutLength[] =
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Field: a\r\n\r\n";
constexpr char kPreliminary[] = "HTTP/1.1 103 Early Hints\r\nX-Hint: a\r\n\r\n";
constexpr char kChunkedHead[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

class ABrokenAnswer : public RunFixture {
 protected:
  /// Runs a request at an upstream that sends these bytes.
  void Run(const std::string& bytes, ConnectionEnd end,
           const std::string& method = "GET") {
    AScriptedUpstream upstream({{{bytes, end}}, {{bytes, end}}});
    Start(upstream.Address(), "r1", method, false);
    EXPECT_TRUE(Finished()) << bytes;
  }

  void ExpectBroken(const std::string& bytes, RunProgress progress,
                    ConnectionEnd end = ConnectionEnd::kClosed,
                    const std::string& method = "GET") {
    Run(bytes, end, method);
    EXPECT_FALSE(ended_) << "taken for whole: " << bytes;
    ASSERT_TRUE(failure_.has_value()) << bytes;
    EXPECT_EQ(failure_->progress, progress) << bytes;
    EXPECT_EQ(head_.has_value(), progress == RunProgress::kAnswering) << bytes;
  }

  void ExpectWhole(const std::string& bytes, const std::string& body) {
    Run(bytes, ConnectionEnd::kClosed);
    EXPECT_TRUE(ended_) << bytes;
    EXPECT_EQ(body_, body);
  }

  /// Expects a failure with a lost connection for each prefix of a head.
  void ExpectBrokenAtEachByte(const std::string& before,
                              const std::string& head,
                              const std::string& method = "GET") {
    for (size_t bytes = 0; bytes < head.size(); ++bytes) {
      ExpectBroken(before + head.substr(0, bytes), RunProgress::kSent,
                   ConnectionEnd::kClosed, method);
      ASSERT_TRUE(failure_.has_value());
      EXPECT_TRUE(failure_->connection_lost) << before << head.substr(0, bytes);
    }
  }
};

// Guards against answers whose head broke off and that looked whole.
TEST_F(ABrokenAnswer, IsNeverWholeWhenItsHeadEndsEarly) {
  ExpectBrokenAtEachByte("", kHead);
  ExpectBrokenAtEachByte("", kHeadWithoutLength);
}

TEST_F(ABrokenAnswer, IsNeverWholeWhenItsHeadEndsEarlyAfterAPreliminaryHead) {
  ExpectBrokenAtEachByte("", kPreliminary);
  ExpectBrokenAtEachByte(kPreliminary, kHead);
}

TEST_F(ABrokenAnswer, IsNeverWholeWhenTheHeadForAHeadRequestEndsEarly) {
  ExpectBrokenAtEachByte("", kHead, "HEAD");
}

TEST_F(ABrokenAnswer, IsNeverWholeWhenItsHeadIsReset) {
  ExpectBroken("HTTP/1.1 200 OK\r\nX-Field: a\r\n", RunProgress::kSent,
               ConnectionEnd::kReset);
}

TEST_F(ABrokenAnswer, IsNeverWholeWhenItsBodyEndsEarly) {
  ExpectBroken(std::string(kHead) + "abcd", RunProgress::kAnswering);
  const std::string chunks =
      "5\r\nabcde\r\n10;x=y\r\n0123456789abcdef\r\n0\r\n";
  for (size_t bytes = 0; bytes <= chunks.size(); ++bytes) {
    ExpectBroken(kChunkedHead + chunks.substr(0, bytes),
                 RunProgress::kAnswering);
  }
  ExpectBroken(kChunkedHead + chunks + "X-Trailer: a\r\n",
               RunProgress::kAnswering);
  ExpectWhole(kChunkedHead + chunks + "X-Trailer: a\r\n\r\n",
              "abcde0123456789abcdef");
}

TEST_F(ABrokenAnswer, IsWholeWithoutALengthOnlyWhenItsConnectionIsClosed) {
  ExpectWhole(std::string(kHeadWithoutLength) + "abc", "abc");
  Run(std::string(kHeadWithoutLength) + "abc", ConnectionEnd::kReset);
  EXPECT_FALSE(ended_);
}

TEST_F(ABrokenAnswer, IsNoneInAnOlderFormat) {
  ExpectBroken("abc\r\n\r\n", RunProgress::kSent);
}

// Guards against heads that end at a line that is no field.
TEST_F(ABrokenAnswer, HasALineThatIsNoField) {
  for (const char* line : {"no field", " folded", "\tfolded: x", ": no name",
                           "Name : a", "HTTP/1.1 200 OK", "X-Field: a\rb"}) {
    ExpectBroken(std::string("HTTP/1.1 421 Other\r\n") + line + "\r\n" +
                     kOther + ": 1\r\nContent-Length: 0\r\n\r\n",
                 RunProgress::kSent);
  }
}

// Guards against bodies whose end is read in two ways.
TEST_F(ABrokenAnswer, HasNoClearLength) {
  for (const char* fields :
       {"Content-Length: 12abc", "Content-Length: -3", "Content-Length: +3",
        "Content-Length:", "Content-Length: 0x3", "Content-Length: 3, 3",
        "Content-Length: 3 3", "Content-Length: 99999999999999999999",
        "Content-Length: 3\r\nContent-Length: 2",
        "Content-Length: 3\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 3"}) {
    ExpectBroken(std::string("HTTP/1.1 200 OK\r\n") + fields +
                     "\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                 RunProgress::kSent);
  }
  ExpectWhole(
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
      "abc");
}

}  // namespace
}  // namespace hibiscusglade
