#include "caller/internal/caller_connection.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <map>
#include <optional>

#include "base/clock.h"
#include "calls/field_values.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

/// Records calls and lets the test answer them.
class FakeCallHandler : public CallHandler {
 public:
  CallHandle Begin(CallRequest request,
                   std::unique_ptr<CallerStream> stream) override {
    begun.push_back(request.target);
    requests.push_back(request);
    streams[request.target] = std::move(stream);
    handles[++last_handle_] = request.target;
    return last_handle_;
  }
  void Consumed(CallHandle, uint64_t bytes) override { consumed += bytes; }
  void Cancel(CallHandle call) override { cancelled.push_back(handles[call]); }

  void Answer(const std::string& target, const std::string& body) {
    streams[target]->OnHead({200, {}, static_cast<int64_t>(body.size())});
    streams[target]->OnData(body);
    streams[target]->OnEnd();
  }

  std::vector<std::string> begun;
  std::vector<CallRequest> requests;
  std::vector<std::string> cancelled;
  uint64_t consumed = 0;
  std::map<std::string, std::unique_ptr<CallerStream>> streams;
  std::map<CallHandle, std::string> handles;

 private:
  CallHandle last_handle_ = 0;
};

class CallerConnectionTest : public testing::Test {
 protected:
  CallerConnectionTest() { Reconnect(); }
  ~CallerConnectionTest() override {
    connection_.reset();
    if (caller_ >= 0) close(caller_);
  }

  /// Replaces the connection by a new one.
  void Reconnect() {
    connection_.reset();
    if (caller_ >= 0) close(caller_);
    int ends[2];
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
    caller_ = ends[0];
    connection_ = std::make_unique<CallerConnection>(
        ends[1], "10.0.0.9",
        CallerConnection::Parts{
            loop_, clock_, calls_, body_memory_, held_answers_,
            DefaultCallerDialect(), origin_, [this] { return limits_; },
            [] { return std::string("r1"); }, [this](int) { ended_ = true; },
            [](const std::error_code&) {},
            [this](const CutRequests& cut) { cut_ = cut; }});
    limits_.request = {1000, 1000};
    limits_.head_timeout = std::chrono::seconds(3);
    limits_.idle_timeout = std::chrono::seconds(15);
    connection_->Start();
  }

  void Send(const std::string& bytes) {
    send(caller_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    RunLoop();
  }
  void RunLoop() {
    for (int i = 0; i < 5; ++i) loop_.RunOnce(milliseconds(1));
  }
  std::string Received() {
    RunLoop();
    std::string bytes;
    char buffer[4096];
    for (ssize_t received = recv(caller_, buffer, sizeof(buffer), 0);
         received > 0; received = recv(caller_, buffer, sizeof(buffer), 0)) {
      bytes.append(buffer, static_cast<size_t>(received));
    }
    return bytes;
  }
  static std::string Get(const std::string& target) {
    return "GET " + target + " HTTP/1.1\r\nHost: a.example\r\n\r\n";
  }

  SteadyClock clock_;
  EventLoop loop_{clock_};
  FakeCallHandler calls_;
  BodyMemory body_memory_{600};
  BodyMemory held_answers_{300'000};
  std::string origin_ = "orders";
  ConnectionLimits limits_;
  bool ended_ = false;
  std::optional<CutRequests> cut_;
  int caller_ = -1;
  std::unique_ptr<CallerConnection> connection_;
};

class PipelinedRequests : public CallerConnectionTest {};

TEST_F(PipelinedRequests, BeginAtOnceAndAreAnsweredInOrder) {
  Send(Get("/1") + Get("/2") + Get("/3"));
  EXPECT_EQ(calls_.begun, (std::vector<std::string>{"/1", "/2", "/3"}));
  calls_.Answer("/3", "third");
  calls_.Answer("/2", "second");
  EXPECT_EQ(Received(), "");
  calls_.Answer("/1", "first");
  const std::string answers = Received();
  EXPECT_LT(answers.find("first"), answers.find("second"));
  EXPECT_LT(answers.find("second"), answers.find("third"));
  EXPECT_NE(answers.find("third"), std::string::npos);
}

TEST_F(PipelinedRequests, OfUnsafeMethodsWaitForEarlierAnswers) {
  Send(Get("/1") + "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx" +
       Get("/3"));
  EXPECT_EQ(calls_.begun, std::vector<std::string>{"/1"});
  calls_.Answer("/1", "first");
  RunLoop();
  EXPECT_EQ(calls_.begun, (std::vector<std::string>{"/1", "/2"}));
}

/// Requests behind an answer that broke off got no answer.
TEST_F(PipelinedRequests, AreAnsweredThoughAnAnswerBeforeThemBreaksOff) {
  Send(Get("/1") + Get("/2"));
  calls_.streams["/1"]->OnHead({200, {}, 100});
  calls_.streams["/1"]->OnData("part");
  EXPECT_EQ(Received(), "");
  calls_.streams["/1"]->OnBroken({});
  calls_.Answer("/2", "second");
  const std::string answers = Received();
  EXPECT_EQ(answers.find("part"), std::string::npos);
  EXPECT_LT(answers.find("HTTP/1.1 502"), answers.find("second"));
  EXPECT_NE(answers.find("second"), std::string::npos);
  EXPECT_FALSE(ended_);
  EXPECT_EQ(cut_, std::nullopt);
}

TEST_F(PipelinedRequests, AreNotBegunBehindAnAnswerThatIsPartlySent) {
  Send(Get("/1"));
  calls_.streams["/1"]->OnHead({200, {}, 8});
  calls_.streams["/1"]->OnData("part");
  EXPECT_NE(Received().find("part"), std::string::npos);
  Send(Get("/2"));
  EXPECT_EQ(calls_.begun, std::vector<std::string>{"/1"});
  calls_.streams["/1"]->OnData("rest");
  calls_.streams["/1"]->OnEnd();
  RunLoop();
  EXPECT_EQ(calls_.begun, (std::vector<std::string>{"/1", "/2"}));
}

/// Requests that sound upstreams had run got no answer, as a download before
/// them broke off when a part of it had been sent.
TEST_F(PipelinedRequests, AreAnsweredThoughADownloadBeforeThemBreaksOff) {
  for (const int64_t length : {int64_t{200'000}, int64_t{-1}}) {
    Reconnect();
    calls_.consumed = 0;
    Send(Get("/1") + Get("/2"));
    calls_.streams["/1"]->OnHead({200, {}, length});
    for (int i = 0; i < 3; ++i) {
      calls_.streams["/1"]->OnData(std::string(60'000, 'x'));
      EXPECT_EQ(Received(), "");
    }
    EXPECT_EQ(calls_.consumed, 180'000u);
    EXPECT_GT(held_answers_.Bytes(), 180'000u);
    calls_.streams["/1"]->OnBroken({});
    calls_.Answer("/2", "second");
    const std::string answers = Received();
    EXPECT_TRUE(answers.starts_with("HTTP/1.1 502 "));
    EXPECT_TRUE(answers.ends_with("second"));
    EXPECT_EQ(answers.find("xxx"), std::string::npos);
    EXPECT_FALSE(ended_);
    EXPECT_EQ(held_answers_.Bytes(), 0u);
  }
}

TEST_F(PipelinedRequests, WaitForADownloadThatIsThenSentWhole) {
  Send(Get("/1") + Get("/2"));
  const std::string download(200'000, 'x');
  calls_.Answer("/1", download);
  calls_.Answer("/2", "second");
  std::string answers;
  for (int i = 0; i < 30; ++i) answers += Received();
  EXPECT_NE(answers.find("\r\n\r\n" + download + "HTTP/1.1 200 "),
            std::string::npos);
  EXPECT_TRUE(answers.ends_with("second"));
  EXPECT_EQ(held_answers_.Bytes(), 0u);
}

TEST_F(PipelinedRequests, HoldBackNoDownloadBeyondTheMemoryForThem) {
  Send(Get("/1") + Get("/2"));
  held_answers_.OnChange(0, 400'000);
  calls_.streams["/1"]->OnHead({200, {}, 200'000});
  calls_.streams["/1"]->OnData(std::string(80'000, 'x'));
  EXPECT_NE(Received().find(std::string(1000, 'x')), std::string::npos);
}

TEST_F(PipelinedRequests, DoNotHoldBackALargeAnswerBeforeThem) {
  Send(Get("/1") + Get("/2"));
  const std::string part(size_t{80} << 10U, 'x');
  calls_.streams["/1"]->OnHead({200, {}, 1'000'000});
  calls_.streams["/1"]->OnData(part);
  EXPECT_NE(Received().find(std::string(1000, 'x')), std::string::npos);
}

/// A connection with a part of a 33rd request was not read any more.
TEST_F(PipelinedRequests, BeyondTheLimitAreReadInParts) {
  std::string requests;
  for (int i = 1; i <= 32; ++i) requests += Get("/" + std::to_string(i));
  const std::string last = Get("/33");
  Send(requests + last.substr(0, 10));
  for (int i = 32; i >= 1; --i) calls_.Answer("/" + std::to_string(i), "x");
  Received();
  Send(last.substr(10));
  EXPECT_EQ(calls_.begun.size(), 33u);
}

class ACustomersRequest : public CallerConnectionTest {};

TEST_F(ACustomersRequest, IsPipelinedWithItsOwnKey) {
  Send(
      "GET /1 HTTP/1.1\r\nAuthorization: Bearer k1\r\n\r\n"
      "GET /2 HTTP/1.1\r\n\r\n"
      "GET /3 HTTP/1.1\r\nAUTHORIZATION: bearer k3\r\n\r\n");
  ASSERT_EQ(calls_.requests.size(), 3u);
  EXPECT_EQ(calls_.requests[0].access_key, "k1");
  EXPECT_EQ(calls_.requests[1].access_key, "");
  EXPECT_EQ(calls_.requests[2].access_key, "k3");
}

TEST_F(ACustomersRequest, HasNoKeyWhenItsFieldIsDoubledOrWithinAnother) {
  for (const std::string fields :
       {"Authorization: Bearer k1\r\nauthorization: Bearer k1\r\n\r\n",
        "X-Other: a\r\n Authorization: Bearer k1\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n0\r\n"
        "Authorization: Bearer k1\r\n\r\n"}) {
    Reconnect();
    Send("GET /1 HTTP/1.1\r\n" + fields);
    ASSERT_FALSE(calls_.requests.empty()) << fields;
    EXPECT_EQ(calls_.requests.back().access_key, "") << fields;
    EXPECT_EQ(FindField(calls_.requests.back().headers, "Authorization"),
              nullptr);
  }
}

// A folded value is the one with a space in place of the line break (RFC 9112,
// section 5.2).
TEST_F(ACustomersRequest, MayFoldTheFieldOfItsKey) {
  Send(
      "GET /1 HTTP/1.1\r\nAuthorization: Bearer\r\n k1\r\n"
      "X-Other: a\r\n X-Customer: b\r\n\r\n");
  ASSERT_EQ(calls_.requests.size(), 1u);
  EXPECT_EQ(calls_.requests[0].access_key, "k1");
  EXPECT_EQ(calls_.requests[0].headers,
            (std::vector<HeaderField>{{"X-Other", "a X-Customer: b"}}));
}

TEST_F(ACustomersRequest, CannotNameItsCustomer) {
  Send("GET /1 HTTP/1.1\r\nX-Customer: a\r\nx-customer: b\r\n\r\n");
  ASSERT_EQ(calls_.requests.size(), 1u);
  EXPECT_TRUE(calls_.requests[0].headers.empty());
  EXPECT_EQ(calls_.requests[0].customer, "");
}

class ACallerThatDisconnects : public CallerConnectionTest {};

TEST_F(ACallerThatDisconnects, HasItsRunningRequestsCancelled) {
  Send(Get("/1") + Get("/2"));
  close(caller_);
  caller_ = -1;
  RunLoop();
  EXPECT_EQ(calls_.cancelled, (std::vector<std::string>{"/1", "/2"}));
  EXPECT_TRUE(ended_);
}

class AnAnswer : public CallerConnectionTest {};

TEST_F(AnAnswer, ThatBreaksOffEndsTheConnection) {
  Send(Get("/1"));
  calls_.streams["/1"]->OnHead({200, {}, 100});
  calls_.streams["/1"]->OnData("part");
  EXPECT_NE(Received().find("Content-Length: 100"), std::string::npos);
  calls_.streams["/1"]->OnBroken({});
  RunLoop();
  EXPECT_TRUE(ended_);
  EXPECT_EQ(cut_,
            (CutRequests{ConnectionEnd::kAnswerBroken, "r1", 1, 0, 1, 0}));
}

TEST_F(AnAnswer, ThatBreaksOffBeforeAnyByteWasSentBecomesAnErrorAnswer) {
  Send(Get("/1") + Get("/2"));
  calls_.streams["/2"]->OnHead({200, {}, 100});
  calls_.streams["/2"]->OnBroken({});
  calls_.Answer("/1", "first");
  EXPECT_NE(Received().find("HTTP/1.1 502"), std::string::npos);
  EXPECT_FALSE(ended_);
}

// Guards against a status such as 000 that reaches the caller.
TEST_F(AnAnswer, WithoutAStatusBecomesAnErrorAnswer) {
  for (int status : {0, -1, 20, 101, 199, 600, 999, 70000}) {
    Reconnect();
    Send(Get("/1") + Get("/2"));
    calls_.streams["/1"]->OnHead({status, {}, 100});
    calls_.streams["/1"]->OnData("part");
    calls_.streams["/1"]->OnEnd();
    calls_.Answer("/2", "second");
    const std::string answers = Received();
    EXPECT_TRUE(answers.starts_with("HTTP/1.1 502 ")) << answers;
    EXPECT_EQ(answers.find("part"), std::string::npos) << answers;
    EXPECT_TRUE(answers.ends_with("\r\n\r\nsecond")) << answers;
  }
}

TEST_F(AnAnswer, OfUnknownLengthComesInChunks) {
  Send(Get("/1"));
  calls_.streams["/1"]->OnHead({200, {}, -1});
  calls_.streams["/1"]->OnData("abc");
  calls_.streams["/1"]->OnEnd();
  EXPECT_NE(Received().find("\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
            std::string::npos);
}

class AConnectionOfAStoppingDaemon : public CallerConnectionTest {};

TEST_F(AConnectionOfAStoppingDaemon, AnswersAllThatWasReadBefore) {
  Send(Get("/1") + Get("/2"));
  connection_->CloseAfterAnswer();
  calls_.Answer("/1", "first");
  calls_.Answer("/2", "second");
  const std::string answers = Received();
  EXPECT_NE(answers.find("second"), std::string::npos);
  EXPECT_EQ(answers.find("Connection: close"), std::string::npos);
  Send(Get("/3"));
  calls_.Answer("/3", "third");
  EXPECT_NE(Received().find("Connection: close"), std::string::npos);
}

class ABodyInChunks : public CallerConnectionTest {
 protected:
  static constexpr char kHead[] =
      "POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
};

TEST_F(ABodyInChunks, MayHaveExtensionsAndATrailer) {
  Send(kHead);
  Send("1;x=y\r\na\r\n0\r\nX-Field: value\r\n\r\n");
  EXPECT_EQ(calls_.begun, std::vector<std::string>{"/1"});
}

// Guards against a connection that is read, for nothing, for as long as its
// caller sends.
TEST_F(ABodyInChunks, IsRefusedForAnExtensionOrATrailerWithoutEnd) {
  for (const char* begin : {"1;x=", "0\r\nX-Field: "}) {
    SCOPED_TRACE(begin);
    Reconnect();
    Send(kHead);
    Send(begin);
    for (int i = 0; i < 5; ++i) Send(std::string(500, 'a'));
    EXPECT_TRUE(calls_.begun.empty());
    EXPECT_TRUE(Received().starts_with("HTTP/1.1 431 "));
  }
}

class ALargeBody : public CallerConnectionTest {
 protected:
  static constexpr char kHead[] =
      "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n";
};

TEST_F(ALargeBody, IsHeldFromItsFirstByteToTheEndOfItsAnswer) {
  Send(kHead + std::string(400, 'a'));
  EXPECT_EQ(body_memory_.Bytes(), 400u);
  Send(std::string(500, 'a'));
  EXPECT_EQ(body_memory_.Bytes(), 900u);
  EXPECT_EQ(calls_.begun, std::vector<std::string>{"/1"});
  calls_.Answer("/1", "kept");
  EXPECT_TRUE(Received().starts_with("HTTP/1.1 200 "));
  EXPECT_EQ(body_memory_.Bytes(), 0u);
}

// Guards against callers that together send more than the memory holds.
TEST_F(ALargeBody, IsRefusedAsNotRunWhenOthersFillTheMemory) {
  body_memory_.OnChange(0, 500);
  Send(kHead + std::string(100, 'a'));
  EXPECT_EQ(Received(), "");
  Send("a");
  const std::string answer = Received();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
  EXPECT_NE(answer.find("X-Outcome: not-run"), std::string::npos);
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos);
  EXPECT_TRUE(calls_.begun.empty());
  EXPECT_EQ(body_memory_.Bytes(), 500u);
}

TEST_F(ALargeBody, IsForgottenWhenItsCallerLeaves) {
  Send(kHead + std::string(400, 'a'));
  Reconnect();
  EXPECT_EQ(body_memory_.Bytes(), 0u);
}

/// Its first request has been answered under the first limits.
class AKeptConnectionWhoseLimitsChange : public CallerConnectionTest {
 protected:
  AKeptConnectionWhoseLimitsChange() {
    Send(Get("/first"));
    calls_.Answer("/first", "answered");
    Received();
  }

  static std::string Head(const std::string& target, size_t body_bytes,
                          size_t field_bytes = 1) {
    return "POST " + target +
           " HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(field_bytes, 'x') +
           "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
  }
  static std::string Post(const std::string& target, size_t body_bytes,
                          size_t field_bytes = 1) {
    return Head(target, body_bytes, field_bytes) + std::string(body_bytes, 'b');
  }
  bool Began(const std::string& target) const {
    return !calls_.begun.empty() && calls_.begun.back() == target;
  }
};

// Guards against a request judged by the version that was in use when its
// connection was last used.
TEST_F(AKeptConnectionWhoseLimitsChange, TakesALargerBodyOnceItIsAllowed) {
  limits_.request.max_body_bytes = 5000;
  Send(Post("/2", 4000));
  EXPECT_TRUE(Began("/2")) << Received();
}

TEST_F(AKeptConnectionWhoseLimitsChange, TakesALargerHeadOnceItIsAllowed) {
  limits_.request.max_head_bytes = 5000;
  Send(Post("/2", 1, 4000));
  EXPECT_TRUE(Began("/2")) << Received();
}

TEST_F(AKeptConnectionWhoseLimitsChange, TakesNoLargerRequestThanIsAllowed) {
  limits_.request = {200, 200};
  Send(Post("/2", 300));
  EXPECT_TRUE(Received().starts_with("HTTP/1.1 413 "));
  Reconnect();
  limits_.request.max_head_bytes = 200;
  Send(Post("/3", 1, 300));
  EXPECT_TRUE(Received().starts_with("HTTP/1.1 431 "));
}

TEST_F(AKeptConnectionWhoseLimitsChange, TakesWhatBeganUnderALooserLimit) {
  const std::string request = Post("/2", 900, 500);
  Send(request.substr(0, 100));
  limits_.request = {200, 200};
  Send(request.substr(100, 700));
  Send(request.substr(800));
  EXPECT_TRUE(Began("/2")) << Received();
}

TEST_F(AKeptConnectionWhoseLimitsChange, TakesWhatIsAllowedBeforeItIsRead) {
  const std::string request = Post("/2", 4000, 4000);
  Send(request.substr(0, 100));
  limits_.request = {5000, 5000};
  Send(request.substr(100));
  EXPECT_TRUE(Began("/2")) << Received();
}

// Guards against pipelined requests judged by a version that came after them.
TEST_F(AKeptConnectionWhoseLimitsChange, TakesWhatWaitedBehindOtherRequests) {
  std::string input;
  for (int i = 0; i < 32; ++i) input += Get("/" + std::to_string(i));
  Send(input + Post("/last", 900));
  limits_.request = {200, 200};
  for (int i = 0; i < 32; ++i) calls_.Answer("/" + std::to_string(i), "a");
  RunLoop();
  EXPECT_TRUE(Began("/last")) << Received();
}

// Guards against connections that end sooner than their callers could know.
TEST_F(AKeptConnectionWhoseLimitsChange, KeepsTheTimeoutsOfABegunWait) {
  limits_.idle_timeout = std::chrono::seconds(5);
  connection_->CheckTimeouts(limits_, clock_.Now() + std::chrono::seconds(14));
  RunLoop();
  EXPECT_FALSE(ended_);
  Send(Get("/2"));
  calls_.Answer("/2", "answered");
  RunLoop();
  connection_->CheckTimeouts(limits_, clock_.Now() + std::chrono::seconds(6));
  RunLoop();
  EXPECT_TRUE(ended_);
}

TEST_F(AKeptConnectionWhoseLimitsChange, KeepsTheTimeoutOfABegunHead) {
  Send("GET /2 HTTP/1.1\r\n");
  limits_.head_timeout = std::chrono::seconds(1);
  connection_->CheckTimeouts(limits_, clock_.Now() + std::chrono::seconds(2));
  EXPECT_EQ(Received(), "");
  connection_->CheckTimeouts(limits_, clock_.Now() + std::chrono::seconds(4));
  EXPECT_TRUE(Received().starts_with("HTTP/1.1 408 "));
}

class InvalidInput : public CallerConnectionTest {};

TEST_F(InvalidInput, IsRefusedWithTheStatusOfItsFault) {
  const std::string head = "GET /1 HTTP/1.1\r\nHost: a\r\n";
  for (const auto& [input, status] : std::map<std::string, std::string>{
           {"nonsense\r\n\r\n", "405"},
           {head + "X-Long: " + std::string(2000, 'x') + "\r\n\r\n", "431"},
           {head + "Content-Length: 2000\r\n\r\n", "413"},
           {head + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "400"},
           {head + "X-Request-Timeout-Ms: soon\r\n\r\n", "400"},
           {head + "X-Customer : forged\r\n\r\n", "400"},
           {head + "Authorization\t: Bearer k\r\n\r\n", "400"}}) {
    int ends[2];
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, ends), 0);
    CallerConnection connection(
        ends[1], "c",
        {loop_, clock_, calls_, body_memory_, held_answers_,
         DefaultCallerDialect(), origin_, [this] { return limits_; },
         [] { return std::string("r"); }, [](int) {},
         [](const std::error_code&) {}, [](const CutRequests&) {}});
    connection.Start();
    send(ends[0], input.data(), input.size(), MSG_NOSIGNAL);
    RunLoop();
    char buffer[4096] = "";
    const ssize_t received = recv(ends[0], buffer, sizeof(buffer) - 1, 0);
    ASSERT_GT(received, 12) << input;
    EXPECT_EQ(std::string(buffer + 9, 3), status) << input;
    close(ends[0]);
  }
  EXPECT_TRUE(calls_.begun.empty());
}

}  // namespace
}  // namespace hibiscusglade
