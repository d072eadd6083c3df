#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "review/cases.h"
#include "review/fleet.h"
#include "review/net.h"

namespace review {
namespace {

constexpr int64_t kStableWindowMs = 3000;
constexpr size_t kClosesAllowed = 3;
constexpr int kConnections = 8;
/// `memory_mb` of the site's `sidecar` machines.
constexpr int64_t kMemoryKb = int64_t{110} * 1024;
/// Below `max_body_bytes` of the configuration, 67,108,864.
constexpr size_t kLargeBytes = 30'000'000;

constexpr char kConfig[] =
    R"({"version":1,"routes":{"columns":["name","hostname","path_prefix",)"
    R"("route_type","timeout_ms","target_latency_ms","priority",)"
    R"("traffic_split","max_attempts","service"],"rows":[)"
    R"(["r-plots","plots.example","/plots/","safe",1000,400,2,null,2,)"
    R"("plots"],["r-tags","plots.example","/tags/","unsafe",1200,400,2,null,)"
    R"(2,"plots"]]},"services":{"columns":["name","health_path",)"
    R"("max_connections","protocol","tls"],"rows":[)"
    R"(["plots","/health",130,"h1",false]]},"limits":{)"
    R"("max_header_bytes":16384,"max_body_bytes":67108864,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"base_version":0})";

std::string Get(const std::string& id) {
  return "GET /plots/" + id +
         " HTTP/1.1\r\nHost: plots.example\r\nAttempt-Id: " + id +
         "\r\nTimeout-Ms: 1000\r\n\r\n";
}

std::string Post(const std::string& id, size_t bytes) {
  return "POST /tags/" + id +
         " HTTP/1.1\r\nHost: plots.example\r\nAttempt-Id: " + id +
         "\r\nTimeout-Ms: 1200\r\nContent-Length: " + std::to_string(bytes) +
         "\r\n\r\n" + std::string(bytes, 'x');
}

/// Keeps a connection to one machine and sends one request after the other.
class Requester {
 public:
  Requester(const std::string& ip, uint16_t port, int number)
      : thread_([this, ip, port, number] {
          while (!stop_) KeepConnection(ip, port, number);
        }) {}
  ~Requester() { Stop(); }
  Requester(const Requester&) = delete;
  Requester& operator=(const Requester&) = delete;

  void Stop() {
    stop_ = true;
    if (thread_.joinable()) thread_.join();
  }
  int Served() const { return served_; }
  const std::vector<std::string>& Unanswered() const { return unanswered_; }

 private:
  void KeepConnection(const std::string& ip, uint16_t port, int number) {
    constexpr int64_t kAnswerMs = 2000;
    constexpr int64_t kPauseMs = 20;
    const int fd = Connect(ip, port, 1000);
    if (fd < 0) return SleepMs(kPauseMs);
    std::string rest;
    bool open = true;
    while (open && !stop_) {
      const std::string id =
          "s" + std::to_string(number) + "-" + std::to_string(++sent_);
      Record("sent " + id);
      HttpMessage answer;
      open = SendAll(fd, Get(id)) &&
             ReadMessage(fd, rest, NowMs() + kAnswerMs, answer);
      if (open) {
        if (answer.Status() == 200) ++served_;
        Record("answer to " + id + ": " + std::to_string(answer.Status()));
        open = answer.Field("connection") != "close";
      } else {
        Record("connection closed before the answer to " + id);
        unanswered_.push_back(id);
      }
      SleepMs(kPauseMs);
    }
    close(fd);
  }

  std::atomic<bool> stop_ = false;
  std::atomic<int> served_ = 0;
  int sent_ = 0;
  std::vector<std::string> unanswered_;
  std::thread thread_;
};

/// @return a figure of /proc/PID/status in KiB.
int64_t MemoryOf(pid_t pid, const std::string& name) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  while (status >> word) {
    if (word != name + ":") continue;
    int64_t kb = 0;
    status >> kb;
    return kb;
  }
  return 0;
}

/// Kills a daemon that uses more memory than its machine has, as the platform
/// does, and starts it again.
class MemoryGuard {
 public:
  explicit MemoryGuard(Fleet& fleet)
      : thread_([this, &fleet] {
          while (!stop_) {
            for (Machine& machine : fleet.Machines()) Check(fleet, machine);
            SleepMs(2);
          }
        }) {}
  ~MemoryGuard() { Stop(); }
  MemoryGuard(const MemoryGuard&) = delete;
  MemoryGuard& operator=(const MemoryGuard&) = delete;

  void Stop() {
    stop_ = true;
    if (thread_.joinable()) thread_.join();
  }
  int Kills() const { return kills_; }
  int64_t PeakKb() const { return peak_kb_; }

 private:
  void Check(Fleet& fleet, Machine& machine) {
    if (machine.service.empty()) return;
    const int64_t used = MemoryOf(machine.daemon, "VmRSS");
    peak_kb_ = std::max(peak_kb_.load(), used);
    if (used <= kMemoryKb) return;
    ++kills_;
    Record("daemon " + machine.name + " uses " + std::to_string(used) +
           " KiB of " + std::to_string(kMemoryKb) + " and is killed");
    fleet.KillDaemon(machine);
    SleepMs(200);
    fleet.StartDaemon(machine);
  }

  std::atomic<bool> stop_ = false;
  std::atomic<int> kills_ = 0;
  std::atomic<int64_t> peak_kb_ = 0;
  std::thread thread_;
};

std::set<std::string> RunIds() {
  std::set<std::string> ids;
  std::ifstream record(RecordPath());
  std::string line;
  while (std::getline(record, line)) {
    const size_t at = line.find(" run s");
    if (at == std::string::npos) continue;
    const size_t begin = at + 5;
    ids.insert(line.substr(begin, line.find(' ', begin) - begin));
  }
  return ids;
}

}  // namespace

/// A requester sends a body within `max_body_bytes` while others keep
/// connections to the same machine.
int LargeBody(const CaseSettings& settings) {
  constexpr int kCannotRun = 2;
  constexpr int64_t kStartMs = 15'000;
  constexpr int kTimes = 3;
  constexpr size_t kSmallBytes = 20'000;
  Fleet fleet(settings.daemon, settings.folder);
  const std::vector<std::string> zones = {"a", "b", "c"};
  for (const std::string& zone : zones) fleet.AddCore(zone);
  for (const std::string& zone : zones) fleet.AddSidecar(zone, "plots");
  for (Machine& machine : fleet.Machines()) {
    if (!machine.service.empty()) fleet.StartServer(machine);
    fleet.StartDaemon(machine);
  }
  const int64_t deadline = NowMs() + kStartMs;
  if (!fleet.Configure(kConfig, deadline)) return kCannotRun;
  while (!fleet.AllReady()) {
    if (NowMs() > deadline) return kCannotRun;
    SleepMs(100);
  }
  SleepMs(2 * kStableWindowMs);
  const std::string entry = fleet.Machines()[zones.size()].ip;
  const uint16_t port = fleet.AllPorts().outbound;
  std::vector<std::unique_ptr<Requester>> requesters;
  for (int i = 1; i <= kConnections; ++i) {
    requesters.push_back(std::make_unique<Requester>(entry, port, i));
  }
  MemoryGuard guard(fleet);
  SleepMs(kStableWindowMs);
  for (int i = 1; i <= kTimes; ++i) {
    const std::string id = "u" + std::to_string(i);
    Record("sent " + id + ", an upload");
    const int status =
        Call(entry, port,
             Post(id, settings.trouble ? kLargeBytes : kSmallBytes), 4000);
    Record("answer to " + id + ": " + std::to_string(status));
    SleepMs(2 * kStableWindowMs);
  }
  int served = 0;
  for (const auto& requester : requesters) {
    requester->Stop();
    served += requester->Served();
  }
  guard.Stop();
  if (served == 0) return kCannotRun;
  const std::set<std::string> run = RunIds();
  size_t closes = 0;
  for (const auto& requester : requesters) {
    for (const std::string& id : requester->Unanswered()) {
      closes += run.count(id);
    }
  }
  Record(std::to_string(served) +
         " requests were served; daemons used at most " +
         std::to_string(guard.PeakKb()) + " KiB and were killed " +
         std::to_string(guard.Kills()) + " times; " + std::to_string(closes) +
         " kept connections were closed without an answer to a request that a "
         "sound server had run; allowed are " +
         std::to_string(kClosesAllowed));
  return closes > kClosesAllowed ? 1 : 0;
}

}  // namespace review
