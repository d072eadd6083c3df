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
constexpr char kFailingTest[] = R"([
  {"op": "test", "path": "/services/plots/max_queue", "value": 1},
  {"op": "remove", "path": "/routes/tags"}])";

/// What differs from run to run: times and who leads.
std::string Normalised(std::string text) {
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

/// Runs the real programs and writes down what they print.
class Session {
 public:
  explicit Session(Mesh& mesh)
      : mesh_(mesh),
        folder_(std::filesystem::path(mesh.LogFile("x")).parent_path()) {}

  /// Stops a daemon as the platform does.
  void Stop(const std::string& instance) {
    mesh_.Daemon(instance).Signal(SIGTERM);
    text_ << "TERM to the daemon of " << instance << ": exit status "
          << mesh_.Daemon(instance).Wait(kCommandTimeoutMs) << "\n";
  }

  void Say(const std::string& line) { text_ << "\n# " << line << "\n"; }

  /// Runs hibiscusgladectl.
  void Ctl(const std::string& instance, const std::vector<std::string>& words) {
    std::vector<std::string> command = {
        std::string(HG_BINARY_DIR) + "/bin/hibiscusgladectl",
        "--api=" + mesh_.IpOf(instance) + ":7003"};
    text_ << "$ hibiscusgladectl --api " << instance;
    for (const std::string& word : words) {
      command.push_back(word);
      text_ << " " << word;
    }
    const std::string out = folder_ + "/command.out";
    std::filesystem::remove(out);
    ChildProcess process(command, out, folder_);
    const int status = process.Wait(kCommandTimeoutMs);
    std::ifstream file(out);
    text_ << "\n" << file.rdbuf();
    text_.clear();
    text_ << "exit status " << status << "\n";
  }

  /// Sends a caller's request.
  void Request(const std::string& instance, const std::string& method,
               const std::string& path, const std::string& body = "",
               const std::string& key = "") {
    std::vector<std::string> fields;
    if (!key.empty()) fields.push_back("Idempotency-Key: " + key);
    const HttpAnswer answer =
        SendHttp(method, mesh_.CallerUrl(instance) + path, body, fields);
    text_ << "> " << method << " " << path << " " << body << " through "
          << instance << (key.empty() ? "" : " with key " + key) << "\n"
          << answer.status << " " << answer.body;
  }

  void Write(const std::string& name, const std::string& content) const {
    std::ofstream(folder_ + "/" + name) << content;
  }

  std::string Text() const { return Normalised(text_.str()); }

 private:
  Mesh& mesh_;
  std::string folder_;
  std::ostringstream text_;
};

class AWholeSession : public testing::Test {
 protected:
  AWholeSession()
      : mesh_(kNetwork, {{"x", "a", "plots", 6, true, {}},
                         {"y", "b", "plots", 6, true, {}},
                         {"z", "c", "plots", 6, true, {}}}),
        session_(mesh_) {
    session_.Write("first.json", kFirstPatch);
    session_.Write("faulty.json", kFaultyPatch);
    session_.Write("failing.json", kFailingTest);
    session_.Write("cut.json", "[{\"op\":");
    session_.Write("twice.json", R"([{"op":"remove","op":"add"}])");
    mesh_.Start();
  }

  /// Waits until a daemon's API shows a text.
  bool Shows(const std::string& instance, const std::string& path,
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
    std::vector<std::string> words = {"propose", "--base=" + base,
                                      "--patch_id=" + id, "--patch=" + file,
                                      "--author=ana"};
    if (json) words.push_back("--json");
    session_.Ctl("x", words);
  }

  void ChangeTheConfiguration() {
    ASSERT_TRUE(mesh_.WaitForUpstreams("x", 3, seconds(20)));
    session_.Say("A first version, and the same command again");
    Propose("first", "0", "first.json");
    Propose("first", "0", "first.json");
    ASSERT_TRUE(Shows("x", "/v1/in-force/1", "\"everywhere\":true"));
    session_.Ctl("x", {"watch", "1"});
    session_.Say("Refusals");
    Propose("second", "0", "first.json");
    Propose("third", "1", "faulty.json");
    Propose("third", "1", "faulty.json", true);
    Propose("fourth", "1", "failing.json");
    Propose("first", "1", "failing.json");
    Propose("fifth", "1", "cut.json");
    Propose("fifth", "1", "twice.json");
    Propose("fifth", "1", "absent.json");
    session_.Ctl("x", {"watch", "2", "--timeout=0"});
    session_.Ctl("x", {"watch", "soon"});
    session_.Ctl("x", {"show", "7"});
    session_.Ctl("x", {"restart"});
  }

  void LookAround() {
    session_.Say("What there is");
    for (const char* command : {"show", "history", "status", "upstreams"}) {
      session_.Ctl("x", {command});
      session_.Ctl("x", {command, "--json"});
    }
  }

  void SendRequests() {
    ASSERT_TRUE(mesh_.WaitForUpstreams("y", 3, seconds(20)));
    session_.Say("Callers' requests");
    session_.Request("x", "GET", "/plots/7");
    session_.Request("x", "GET", "/nowhere");
    session_.Request("x", "POST", "/tags/7", "girth=31");
    session_.Request("x", "POST", "/tags/7", "girth=31", "tag-7");
    session_.Request("y", "POST", "/tags/7", "girth=31", "tag-7");
    session_.Request("y", "POST", "/tags/7", "girth=32", "tag-7");
  }

  void DrainAndStop() {
    session_.Say("Drain and stop");
    session_.Ctl("z", {"drain"});
    ASSERT_TRUE(Shows("x", "/v1/instances", "draining"));
    session_.Ctl("x", {"upstreams"});
    for (const char* instance : {"z", "y", "x"}) {
      session_.Stop(instance);
    }
    session_.Ctl("x", {"status"});
    session_.Ctl("x", {"--json", "status"});
  }

  Mesh mesh_;
  Session session_;
};

TEST_F(AWholeSession, ReadsAsTheGoldenFileSays) {
  ChangeTheConfiguration();
  LookAround();
  SendRequests();
  DrainAndStop();
  ExpectGolden(HG_SOURCE_DIR "/tests/sessions/whole_session.golden",
               session_.Text());
}

}  // namespace
}  // namespace hibiscusglade
