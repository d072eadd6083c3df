#include <gtest/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

#include "tests/golden/golden.h"
#include "tests/harness/mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::seconds;

constexpr int kNetwork = 120;
constexpr int kCommandTimeoutMs = 40000;

constexpr char kFirstPatch[] = R"([
  {"op": "add", "path": "/services/plots", "value": {"max_queue": 64}},
  {"op": "add", "path": "/classes/short", "value": {"max_wait_ms": 1000}},
  {"op": "add", "path": "/routes/plots", "value": {"path_prefix": "/plots/",
    "service": "plots", "class": "short", "repeatable": true}},
  {"op": "add", "path": "/routes/tags", "value": {"path_prefix": "/tags/",
    "service": "plots", "class": "short", "repeatable": false}}])";
constexpr char kFaultyPatch[] = R"([
  {"op": "add", "path": "/routes/archive", "value": {"path_prefix": "archive",
    "service": "archive", "class": "long", "timeout_ms": 0, "speed": 1}}])";
constexpr char kFailingTestPatch[] = R"([
  {"op": "test", "path": "/services/plots/max_queue", "value": 1},
  {"op": "remove", "path": "/routes/tags"}])";

/// Replaces what differs between runs: times, the leader, replica roles, the
/// folder of the mesh and its subnet (HG_MESH_SUBNET).
std::string Normalized(std::string text) {
  const std::pair<const char*, const char*> rules[] = {
      {R"("accepted_at":\d+)", "\"accepted_at\":TIME"},
      {R"((version_age_ms"?: ?)\d+)", "$1TIME"},
      {R"((leader_address"?: ?"?)[0-9.:]+)", "$1LEADER"},
      {R"((replica_role"?: ?"?)(leader|follower|candidate|learner))", "$1ROLE"},
      {R"(/\S*/hibiscusglade-\d+-\d+/)", "FOLDER/"},
      {R"(127\.120\.\d+\.)", "127.120.0."}};
  for (const auto& [pattern, replacement] : rules) {
    text = std::regex_replace(text, std::regex(pattern), replacement);
  }
  return text;
}

/// Drives the real programs and records commands and output in a transcript.
class Session {
 public:
  explicit Session(Mesh& mesh)
      : mesh_(mesh),
        folder_(std::filesystem::path(mesh.LogFile("x")).parent_path()) {}

  /// Stops a daemon with SIGTERM, as the platform does.
  void StopDaemon(const std::string& instance) {
    mesh_.Daemon(instance).Signal(SIGTERM);
    transcript_ << "TERM to the daemon of " << instance << ": exit status "
                << mesh_.Daemon(instance).Wait(kCommandTimeoutMs) << "\n";
  }

  void AddHeading(const std::string& line) {
    transcript_ << "\n# " << line << "\n";
  }

  /// Runs hibiscusgladectl.
  void RunCtl(const std::string& instance,
              const std::vector<std::string>& arguments) {
    std::vector<std::string> command = {
        std::string(HG_BINARY_DIR) + "/bin/hibiscusgladectl",
        "--api=" + mesh_.IpOf(instance) + ":7003"};
    transcript_ << "$ hibiscusgladectl --api " << instance;
    for (const std::string& argument : arguments) {
      command.push_back(argument);
      transcript_ << " " << argument;
    }
    const std::string out = folder_ + "/command.out";
    std::filesystem::remove(out);
    ChildProcess process(command, out, folder_);
    const int status = process.Wait(kCommandTimeoutMs);
    std::ifstream file(out);
    transcript_ << "\n" << file.rdbuf();
    transcript_.clear();
    transcript_ << "exit status " << status << "\n";
  }

  /// Sends a caller's request.
  void Request(const std::string& instance, const std::string& method,
               const std::string& path, const std::string& body = "",
               const std::string& key = "") {
    std::vector<std::string> fields;
    if (!key.empty()) fields.push_back("Idempotency-Key: " + key);
    const HttpAnswer answer =
        SendHttp(method, mesh_.CallerUrl(instance) + path, body, fields);
    transcript_ << "> " << method << " " << path << " " << body << " through "
                << instance << (key.empty() ? "" : " with key " + key) << "\n"
                << answer.status << " " << answer.body;
  }

  void WriteFile(const std::string& name, const std::string& content) const {
    std::ofstream(folder_ + "/" + name) << content;
  }

  std::string Transcript() const { return Normalized(transcript_.str()); }

 private:
  Mesh& mesh_;
  std::string folder_;
  std::ostringstream transcript_;
};

class AWholeSession : public testing::Test {
 protected:
  AWholeSession()
      : mesh_(kNetwork, {{"x", "a", "plots", 6, true, {}},
                         {"y", "b", "plots", 6, true, {}},
                         {"z", "c", "plots", 6, true, {}}}),
        session_(mesh_) {
    session_.WriteFile("first.json", kFirstPatch);
    session_.WriteFile("faulty.json", kFaultyPatch);
    session_.WriteFile("failing.json", kFailingTestPatch);
    session_.WriteFile("cut.json", "[{\"op\":");
    session_.WriteFile("twice.json", R"([{"op":"remove","op":"add"}])");
    mesh_.Start();
  }

  /// Waits until an answer of a daemon's operators' API contains a text.
  bool WaitForText(const std::string& instance, const std::string& path,
                   const std::string& text) {
    return Mesh::Eventually(
        [&] {
          return SendHttp("GET", mesh_.OperatorUrl(instance) + path)
                     .body.find(text) != std::string::npos;
        },
        seconds(20));
  }

  void Propose(const std::string& id, const std::string& base,
               const std::string& file, bool json = false) {
    std::vector<std::string> arguments = {"propose", "--base=" + base,
                                          "--patch_id=" + id, "--patch=" + file,
                                          "--author=ana"};
    if (json) arguments.push_back("--json");
    session_.RunCtl("x", arguments);
  }

  void ChangeTheConfiguration() {
    ASSERT_TRUE(mesh_.WaitForUpstreams("x", 3, seconds(20)));
    session_.AddHeading("A first version, and the same command again");
    Propose("first", "0", "first.json");
    Propose("first", "0", "first.json");
    ASSERT_TRUE(WaitForText("x", "/v1/in-force/1", "\"everywhere\":true"));
    session_.RunCtl("x", {"watch", "1"});
    session_.AddHeading("Refusals");
    Propose("second", "0", "first.json");
    Propose("third", "1", "faulty.json");
    Propose("third", "1", "faulty.json", true);
    Propose("fourth", "1", "failing.json");
    Propose("first", "1", "failing.json");
    Propose("fifth", "1", "cut.json");
    Propose("fifth", "1", "twice.json");
    Propose("fifth", "1", "absent.json");
    session_.RunCtl("x", {"watch", "2", "--timeout=0"});
    session_.RunCtl("x", {"watch", "soon"});
    session_.RunCtl("x", {"show", "7"});
    session_.RunCtl("x", {"restart"});
  }

  void ShowState() {
    session_.AddHeading("Versions, status and upstreams");
    for (const char* command : {"show", "history", "status", "upstreams"}) {
      session_.RunCtl("x", {command});
      session_.RunCtl("x", {command, "--json"});
    }
  }

  void SendRequests() {
    ASSERT_TRUE(mesh_.WaitForUpstreams("y", 3, seconds(20)));
    session_.AddHeading("Callers' requests");
    session_.Request("x", "GET", "/plots/7");
    session_.Request("x", "GET", "/nowhere");
    session_.Request("x", "POST", "/tags/7", "girth=31");
    session_.Request("x", "POST", "/tags/7", "girth=31", "tag-7");
    session_.Request("y", "POST", "/tags/7", "girth=31", "tag-7");
    session_.Request("y", "POST", "/tags/7", "girth=32", "tag-7");
  }

  void DrainAndStop() {
    session_.AddHeading("Drain and stop");
    session_.RunCtl("z", {"drain"});
    ASSERT_TRUE(WaitForText("x", "/v1/instances", "draining"));
    session_.RunCtl("x", {"upstreams"});
    for (const char* instance : {"z", "y", "x"}) {
      session_.StopDaemon(instance);
    }
    session_.RunCtl("x", {"status"});
    session_.RunCtl("x", {"--json", "status"});
  }

  Mesh mesh_;
  Session session_;
};

TEST_F(AWholeSession, ReadsAsTheGoldenFileSays) {
  ChangeTheConfiguration();
  ShowState();
  SendRequests();
  DrainAndStop();
  ExpectGolden(HG_SOURCE_DIR "/tests/sessions/whole_session.golden",
               session_.Transcript());
}

}  // namespace
}  // namespace hibiscusglade
