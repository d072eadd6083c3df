#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/cases.h"
#include "review/fleet.h"
#include "review/net.h"

namespace review {
namespace {

constexpr int kNotFound = 404;
constexpr size_t kNotFoundAllowed = 10;
constexpr int kRequestersPerMachine = 4;

constexpr char kConfig[] =
    R"({"version":1,"routes":{"columns":["name","hostname","path_prefix",)"
    R"("route_type","timeout_ms","target_latency_ms","priority",)"
    R"("traffic_split","max_attempts","service"],"rows":[)"
    R"(["r-plots","plots.example","/plots/","safe",1000,400,2,null,2,)"
    R"("plots"]]},"services":{"columns":["name","health_path",)"
    R"("max_connections","protocol","tls"],"rows":[)"
    R"(["plots","/health",130,"h1",false]]},"limits":{)"
    R"("max_header_bytes":16384,"max_body_bytes":1048576,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"base_version":0})";

std::string Get(const std::string& id) {
  return "GET /plots/" + id +
         " HTTP/1.1\r\nHost: plots.example\r\nAttempt-Id: " + id +
         "\r\nTimeout-Ms: 1000\r\n\r\n";
}

/// Sends requests to one machine, each on a new connection.
class Requester {
 public:
  Requester(const std::string& ip, uint16_t port, const std::string& name)
      : thread_([this, ip, port, name] {
          constexpr int64_t kPauseMs = 50;
          for (int i = 1; !stop_; ++i) {
            SendOne(ip, port, name, i);
            SleepMs(kPauseMs);
          }
        }) {}
  ~Requester() { Stop(); }
  Requester(const Requester&) = delete;
  Requester& operator=(const Requester&) = delete;

  void Stop() {
    stop_ = true;
    if (thread_.joinable()) thread_.join();
  }
  const std::map<int, size_t>& Answers() const { return answers_; }

 private:
  void SendOne(const std::string& ip, uint16_t port, const std::string& name,
               int number) {
    constexpr int kAnswerMs = 1000;
    const std::string id = name + "-" + std::to_string(number);
    Record("sent " + id + " at " + ip);
    const int status = Call(ip, port, Get(id), kAnswerMs);
    Record("answer to " + id + ": " + std::to_string(status));
    ++answers_[status];
  }

  std::atomic<bool> stop_ = false;
  std::map<int, size_t> answers_;
  std::thread thread_;
};

}  // namespace

/// The first configuration is sent before traffic starts. Just before that, all
/// processes of the core are killed; they are back within a second, and the
/// configuration is sent until it is accepted.
int FirstConfiguration(const CaseSettings& settings) {
  constexpr int kCannotRun = 2;
  constexpr int64_t kReadyMs = 7000;
  constexpr int64_t kKillMs = 7300;
  constexpr int64_t kTrafficMs = 8000;
  constexpr int64_t kDownMs = 900;
  constexpr int64_t kEndMs = 14'000;
  Fleet fleet(settings.daemon, settings.folder);
  const std::vector<std::string> zones = {"a", "b", "c"};
  for (const std::string& zone : zones) fleet.AddCore(zone);
  for (const std::string& zone : zones) fleet.AddSidecar(zone, "plots");
  fleet.AddSidecar("a", "plots");
  const int64_t start = NowMs();
  const auto wait_until = [start](int64_t ms) {
    const int64_t left = start + ms - NowMs();
    if (left > 0) SleepMs(left);
  };
  for (Machine& machine : fleet.Machines()) {
    if (!machine.service.empty()) fleet.StartServer(machine);
    fleet.StartDaemon(machine);
  }
  wait_until(kReadyMs);
  Record(fleet.AllReady() ? "all daemons beside servers say that they are ready"
                          : "a daemon beside a server is not ready");
  wait_until(kKillMs);
  std::thread core([&fleet, &settings, &wait_until] {
    if (!settings.trouble) return;
    for (Machine& machine : fleet.Machines()) {
      if (machine.service.empty()) fleet.KillDaemon(machine);
    }
    SleepMs(kDownMs);
    for (Machine& machine : fleet.Machines()) {
      if (machine.service.empty()) fleet.StartDaemon(machine);
    }
    // Processes end with the thread that has started them.
    wait_until(kEndMs);
  });
  bool configured = false;
  std::thread operators([&] {
    SleepMs(100);
    configured = fleet.Configure(kConfig, start + kEndMs);
  });
  wait_until(kTrafficMs);
  Record("traffic starts");
  std::vector<std::unique_ptr<Requester>> requesters;
  for (const Machine& machine : fleet.Machines()) {
    if (machine.service.empty()) continue;
    for (int i = 1; i <= kRequestersPerMachine; ++i) {
      requesters.push_back(
          std::make_unique<Requester>(machine.ip, fleet.AllPorts().outbound,
                                      machine.name + "-" + std::to_string(i)));
    }
  }
  wait_until(kEndMs);
  std::map<int, size_t> answers;
  for (const auto& requester : requesters) {
    requester->Stop();
    for (const auto& [status, count] : requester->Answers()) {
      answers[status] += count;
    }
  }
  core.join();
  operators.join();
  if (!configured || answers[200] == 0) return kCannotRun;
  std::string text = "answers:";
  for (const auto& [status, count] : answers) {
    text += " " + std::to_string(count) + " x " + std::to_string(status);
  }
  Record(text + "; allowed are " + std::to_string(kNotFoundAllowed) +
         " x 404 for what all configurations allow");
  return answers[kNotFound] > kNotFoundAllowed ? 1 : 0;
}

}  // namespace review
