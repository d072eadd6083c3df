#include <csignal>
#include <thread>

#include "tests/processes/claims_mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::seconds;

constexpr size_t kUploadBytes = 60'000;
constexpr char kLinkOf20Mbps[] = R"({"link_mbps": 20})";

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
    if (answers[i].Outcome() == "not-run") EXPECT_EQ(RunsOf(i), 0) << i;
    if (answers[i].status == 200) EXPECT_EQ(RunsOf(i), 1) << i;
  }
}

}  // namespace
}  // namespace hibiscusglade
