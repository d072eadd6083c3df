#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <list>
#include <thread>

#include "tests/harness/process_cost.h"
#include "tests/processes/claims_mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::seconds;

constexpr size_t kUploadBytes = 60'000;
constexpr char kLinkOf20Mbps[] = R"({"link_mbps": 20})";

/// A caller that sends a part of a body and then nothing.
class StalledCaller {
 public:
  /// @param ip of the daemon.
  StalledCaller(const std::string& ip, size_t body_bytes, size_t sent_bytes) {
    socket_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kCallerPort);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    EXPECT_EQ(connect(socket_, reinterpret_cast<sockaddr*>(&address),
                      sizeof(address)),
              0);
    const std::string bytes =
        "POST /deposits/stalled HTTP/1.1\r\nHost: x\r\nContent-Length: " +
        std::to_string(body_bytes) + "\r\n\r\n" + std::string(sent_bytes, 'a');
    send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  ~StalledCaller() { close(socket_); }
  StalledCaller(const StalledCaller&) = delete;
  StalledCaller& operator=(const StalledCaller&) = delete;

  /// @return what the daemon has answered so far.
  std::string Received() const {
    std::string answer(4096, ' ');
    const ssize_t count =
        recv(socket_, answer.data(), answer.size(), MSG_DONTWAIT);
    answer.resize(count > 0 ? static_cast<size_t>(count) : 0);
    return answer;
  }

 private:
  static constexpr uint16_t kCallerPort = 7000;

  int socket_ = -1;
};

/// A mesh whose only upstream has a slow link.
class AMeshThatTakesUploads : public ClaimsMesh {
 protected:
  AMeshThatTakesUploads()
      : ClaimsMesh(96, {{"x", "a", "orders", 6, true, {}, kLinkOf20Mbps},
                        {"y", "b", "", 6, true, {}, kLinkOf20Mbps},
                        {"z", "c", "", 6, true, {}, kLinkOf20Mbps}}) {}

  static std::string BodyOf(size_t number) {
    std::string body = "upload " + std::to_string(number) + " ";
    while (body.size() < kUploadBytes) body += std::to_string(body.size());
    return body;
  }

  HttpAnswer Upload(const std::string& entry, size_t number,
                    std::vector<std::string> fields = {}) const {
    const std::string id = std::to_string(number);
    fields.push_back("Idempotency-Key: k" + id);
    return SendHttp("POST", mesh_.CallerUrl(entry) + "/deposits/" + id,
                    BodyOf(number), fields);
  }

  /// @return runs of an upload with its whole body.
  int RunsOf(size_t number) const {
    const std::string line = " POST /deposits/" + std::to_string(number) + " " +
                             BodyOf(number) + "\n";
    const std::string runs =
        SendHttp("GET", mesh_.UpstreamUrl("x") + "/standin/runs").body;
    const size_t at = runs.find(line);
    return at == std::string::npos ? 0 : runs[at - 1] - '0';
  }
};

TEST_F(AMeshThatTakesUploads, RunsEachOnceWithItsWholeBody) {
  PutFirstVersionInForce(1);
  std::vector<HttpAnswer> answers(12);
  {
    std::vector<std::jthread> callers;
    for (size_t i = 0; i < answers.size(); ++i) {
      callers.emplace_back([&, i] {
        const char* entry = i % 3 == 0 ? "x" : (i % 3 == 1 ? "y" : "z");
        std::vector<std::string> fields;
        if (i % 2 == 0) fields = {"Transfer-Encoding: chunked"};
        answers[i] = Upload(entry, i, fields);
      });
    }
  }
  for (size_t i = 0; i < answers.size(); ++i) {
    EXPECT_EQ(answers[i].status, 200) << i << " " << answers[i].body;
    EXPECT_EQ(RunsOf(i), 1) << i;
  }
}

TEST_F(AMeshThatTakesUploads, AnswersThemWhileAnotherDaemonStops) {
  PutFirstVersionInForce(1);
  std::jthread stop([this] {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    mesh_.Daemon("z").Signal(SIGTERM);
  });
  for (size_t i = 0; i < 20; ++i) {
    const HttpAnswer answer = Upload("y", i);
    EXPECT_EQ(answer.status, 200) << i << " " << answer.body;
    EXPECT_EQ(RunsOf(i), 1) << i;
  }
  EXPECT_EQ(mesh_.Daemon("z").Wait(20'000), 0);
}

/// Guards against callers that stop midway on many connections and fill the
/// memory of a daemon.
TEST_F(AMeshThatTakesUploads, ServesOthersWhileCallersStopMidway) {
  PutFirstVersionInForce(1);
  const double resident_kb = ProcessResidentKb(mesh_.Daemon("y").Pid());
  std::list<StalledCaller> callers;
  for (int i = 0; i < 40; ++i) {
    callers.emplace_back(mesh_.IpOf("y"), 1'000'000, 900'000);
  }
  EXPECT_TRUE(Mesh::Eventually(
      [this] {
        return mesh_.Metric("y", "caller_refusals_total{code=\"7008\"}") >= 20;
      },
      seconds(10)));
  EXPECT_EQ(SendHttp("GET", mesh_.CallerUrl("y") + "/catalogue/1").status, 200);
  EXPECT_EQ(Upload("z", 1).status, 200);
  EXPECT_LT(ProcessResidentKb(mesh_.Daemon("y").Pid()), resident_kb + 48'000);
  int refused = 0;
  for (const StalledCaller& caller : callers) {
    const std::string answer = caller.Received();
    if (answer.empty()) continue;
    ++refused;
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 503 ")) << answer;
    EXPECT_NE(answer.find("X-Outcome: not-run"), std::string::npos) << answer;
  }
  EXPECT_GE(refused, 20);
  callers.clear();
  EXPECT_EQ(Upload("y", 2).status, 200);
}

/// The owner dies while bodies are on their way: no upload runs twice, and what
/// is said not to have run has not.
TEST_F(AMeshThatTakesUploads, TellsTheTruthWhenTheOwnerDies) {
  PutFirstVersionInForce(1);
  std::vector<HttpAnswer> answers(10);
  {
    std::vector<std::jthread> callers;
    for (size_t i = 0; i < answers.size(); ++i) {
      callers.emplace_back([&, i] {
        answers[i] = Upload("y", i, {"X-Request-Timeout-Ms: 4000"});
      });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(80));
    mesh_.KillDaemon("x");
  }
  for (size_t i = 0; i < answers.size(); ++i) {
    EXPECT_LE(RunsOf(i), 1) << i;
    if (answers[i].Outcome() == "not-run") {
      EXPECT_EQ(RunsOf(i), 0) << i;
    }
    if (answers[i].status == 200) {
      EXPECT_EQ(RunsOf(i), 1) << i;
    }
  }
}

}  // namespace
}  // namespace hibiscusglade
