#include "upstream/tests/scripted_upstream.h"

namespace hibiscusglade {
namespace {

using Counts = std::vector<int>;

std::string Answer(const std::string& id, const std::string& body = "ab") {
  return "HTTP/1.1 200 OK\r\n" + std::string(kEchoedId) + ": " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// @param field what the answer says.
/// @param id of the request that it names; none when empty.
std::string Rejection(const std::string& field, const std::string& id) {
  const std::string echoed =
      id.empty() ? "" : std::string(kEchoedId) + ": " + id + "\r\n";
  return "HTTP/1.1 503 Busy\r\n" + field + ": 1\r\n" + echoed +
         "Content-Length: 0\r\n\r\n";
}

class AKeptConnection : public RunFixture {
 protected:
  void ExpectAnswered(const AScriptedUpstream& upstream,
                      const std::string& id) {
    Start(upstream.Address(), id, "GET", false);
    ASSERT_TRUE(Finished());
    EXPECT_TRUE(ended_) << failure_->reason;
    EXPECT_EQ(body_, "ab");
  }

  void ExpectFailed(const AScriptedUpstream& upstream, const std::string& id,
                    RunProgress progress) {
    Start(upstream.Address(), id, "GET", false);
    ASSERT_TRUE(Finished());
    ASSERT_TRUE(failure_.has_value()) << "the run ended";
    EXPECT_EQ(failure_->progress, progress);
  }
};

TEST_F(AKeptConnection, CarriesTheNextRequest) {
  AScriptedUpstream upstream({{{Answer("r1")}, {Answer("r2")}}});
  ExpectAnswered(upstream, "r1");
  ExpectAnswered(upstream, "r2");
  EXPECT_EQ(upstream.Requests(), Counts({2}));
}

// Guards against a copy of a rejection that is taken for a second one.
TEST_F(AKeptConnection, IsNotKeptAfterARejection) {
  for (const char* field : {kNotRun, kOther}) {
    AScriptedUpstream upstream({{{Rejection(field, "r1")}}, {{Answer("r1")}}});
    ExpectFailed(upstream, "r1", RunProgress::kRejected);
    ExpectAnswered(upstream, "r1");
    EXPECT_EQ(upstream.Requests(), Counts({1, 1}));
  }
}

// Guards against answers that are each taken by the request after theirs.
TEST_F(AKeptConnection, IsNotKeptAfterTheAnswerToAnotherRequest) {
  AScriptedUpstream upstream({{{Answer("r0", "")}}, {{Answer("r2")}}});
  ExpectFailed(upstream, "r1", RunProgress::kSent);
  ExpectAnswered(upstream, "r2");
  EXPECT_EQ(upstream.Requests(), Counts({1, 1}));
}

// Guards against an earlier rejection, without a request's id, that is taken
// for that of the request on its way.
TEST_F(AKeptConnection, BringsNoRejectionThatNamesNoRequest) {
  for (const char* field : {kNotRun, kOther}) {
    AScriptedUpstream upstream({{{Answer("r1")}, {Rejection(field, "")}}});
    ExpectAnswered(upstream, "r1");
    ExpectFailed(upstream, "r2", RunProgress::kSent);
    EXPECT_EQ(upstream.Requests(), Counts({2}));
  }
}

TEST_F(AKeptConnection, MayBringOneWhileItIsNew) {
  AScriptedUpstream upstream({{{Rejection(kOther, "")}}});
  ExpectFailed(upstream, "r1", RunProgress::kRejected);
}

// Guards against requests that are sent behind bytes of nobody.
TEST_F(AKeptConnection, CarriesNoRequestBehindWaitingBytes) {
  for (const std::string& bytes :
       {Rejection(kNotRun, "r1"), Answer("r1"), std::string("#")}) {
    AScriptedUpstream upstream(
        {{{Answer("r1")}, {Answer("r2")}}, {{Answer("r2")}, {Answer("r3")}}});
    ExpectAnswered(upstream, "r1");
    upstream.SendNow(0, bytes);
    ExpectAnswered(upstream, "r2");
    ExpectAnswered(upstream, "r3");
    EXPECT_EQ(upstream.Requests(), Counts({1, 2}));
  }
}

// Guards against a request that the HTTP library sends again by itself.
TEST_F(AKeptConnection, IsLostWithItsRequestWhichIsSentOnce) {
  for (const bool repeatable : {false, true}) {
    for (const ConnectionEnd end :
         {ConnectionEnd::kClosed, ConnectionEnd::kReset}) {
      for (const char* method : {"GET", "POST", "PUT"}) {
        SCOPED_TRACE(method);
        AScriptedUpstream upstream(
            {{{Answer("r1")}, {"", end}}, {{Answer("r2")}, {Answer("r3")}}});
        ExpectAnswered(upstream, "r1");
        Start(upstream.Address(), "r2", method, repeatable);
        ASSERT_TRUE(Finished());
        ASSERT_TRUE(failure_.has_value()) << "the run ended";
        EXPECT_EQ(failure_->progress, RunProgress::kSent);
        EXPECT_TRUE(failure_->connection_lost);
        EXPECT_EQ(upstream.Requests(), Counts({2}));
      }
    }
  }
}

// Guards against a sound connection that is closed for a repetition that the
// HTTP library attempts.
TEST_F(AKeptConnection, StaysWhenAnotherOneIsLost) {
  AScriptedUpstream upstream({{{""}, {"", ConnectionEnd::kClosed}},
                              {{Answer("r2")}, {"", ConnectionEnd::kClosed}}});
  Start(upstream.Address(), "r1");
  ASSERT_TRUE(WaitUntil([&] { return upstream.Requests() == Counts({1}); }));
  ExpectAnswered(upstream, "r2");
  upstream.SendNow(0, Answer("r1"));
  ASSERT_TRUE(WaitUntil([&] { return client_->Usage().runs == 0; }));
  for (const char* id : {"r3", "r4"}) {
    Start(upstream.Address(), id, "GET", true);
    ASSERT_TRUE(Finished());
    ASSERT_TRUE(failure_.has_value());
  }
  EXPECT_EQ(upstream.Requests(), Counts({2, 2}));
}

// Guards against a process that was paused and then sends what was decided
// before.
TEST_F(AKeptConnection, CarriesNoRequestThatWasDecidedLongAgo) {
  AScriptedUpstream upstream({{{Answer("r1")}, {Answer("r2")}}});
  ExpectAnswered(upstream, "r1");
  Start(upstream.Address(), "r2");
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  ASSERT_TRUE(Finished());
  ASSERT_TRUE(failure_.has_value()) << "the run ended";
  EXPECT_EQ(failure_->progress, RunProgress::kNotSent);
  EXPECT_FALSE(failure_->connection_lost);
  EXPECT_EQ(upstream.Requests(), Counts({1}));
}

TEST_F(AKeptConnection, ShowsThatItsUpstreamLivesWhileNothingWaitsOnIt) {
  AScriptedUpstream upstream({{{Answer("r1")}, {Answer("r2")}}});
  const AScriptedUpstream other({});
  EXPECT_FALSE(client_->IsConnected(upstream.Address()));
  ExpectAnswered(upstream, "r1");
  EXPECT_TRUE(client_->IsConnected(upstream.Address()));
  EXPECT_FALSE(client_->IsConnected(other.Address()));
  upstream.SendNow(0, "#");
  EXPECT_TRUE(
      WaitUntil([&] { return !client_->IsConnected(upstream.Address()); }));
}

TEST_F(AKeptConnection, ShowsNothingOnceItsUpstreamHasClosedIt) {
  AScriptedUpstream upstream({{{Answer("r1"), ConnectionEnd::kClosed}}});
  ExpectAnswered(upstream, "r1");
  EXPECT_TRUE(
      WaitUntil([&] { return !client_->IsConnected(upstream.Address()); }));
}

}  // namespace
}  // namespace hibiscusglade
