#include <unistd.h>

#include <atomic>
#include <fstream>
#include <memory>
#include <set>
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
constexpr int kFollowers = 2;  ///< Requests sent behind each download.

constexpr char kConfig[] =
    R"({"version":1,"routes":{"columns":["name","hostname","path_prefix",)"
    R"("route_type","timeout_ms","target_latency_ms","priority",)"
    R"("traffic_split","max_attempts","service"],"rows":[)"
    R"(["r-files","plots.example","/archive/","download",1000,400,2,null,2,)"
    R"("files"],["r-plots","plots.example","/plots/","safe",1000,400,2,null,)"
    R"(2,"plots"]]},"services":{"columns":["name","health_path",)"
    R"("max_connections","protocol","tls"],"rows":[)"
    R"(["files","/health",130,"h1",false],)"
    R"(["plots","/health",130,"h1",false]]},"limits":{)"
    R"("max_header_bytes":16384,"max_body_bytes":1048576,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"base_version":0})";

std::string Get(const std::string& id, const std::string& path) {
  return "GET " + path +
         " HTTP/1.1\r\nHost: plots.example\r\nAttempt-Id: " + id +
         "\r\nTimeout-Ms: 1000\r\n\r\n";
}

/// Keeps a connection to one machine. Sends a download and, before it is
/// answered, further safe requests; reads the answers in order.
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
  /// @return the safe requests without an answer, by connection that was
  /// closed.
  const std::vector<std::vector<std::string>>& Closes() const {
    return closes_;
  }

 private:
  void KeepConnection(const std::string& ip, uint16_t port, int number) {
    constexpr int64_t kAnswerMs = 3000;
    constexpr int64_t kPauseMs = 60;
    const int fd = Connect(ip, port, 1000);
    if (fd < 0) return SleepMs(kPauseMs);
    std::string rest;
    bool open = true;
    while (open && !stop_) {
      std::vector<std::string> ids;
      std::string batch;
      const std::string name =
          std::to_string(number) + "-" + std::to_string(++batches_);
      ids.push_back("d" + name);
      batch += Get(ids.back(), "/archive/" + name);
      for (int i = 1; i <= kFollowers; ++i) {
        ids.push_back("s" + name + "-" + std::to_string(i));
        batch += Get(ids.back(), "/plots/" + name);
      }
      Record("sent " + ids.front() + " and " + std::to_string(kFollowers) +
             " behind it at " + ip);
      open = SendAll(fd, batch);
      size_t answered = 0;
      HttpMessage answer;
      while (open && answered < ids.size()) {
        open = ReadMessage(fd, rest, NowMs() + kAnswerMs, answer);
        if (!open) break;
        Record("answer to " + ids[answered] + ": " +
               std::to_string(answer.Status()));
        if (answer.Status() == 200) ++served_;
        ++answered;
        if (answer.Field("connection") == "close") open = false;
      }
      if (answered < ids.size()) {
        Record("connection closed before the answer to " + ids[answered]);
        closes_.emplace_back(ids.begin() + static_cast<long>(answered),
                             ids.end());
      }
      SleepMs(kPauseMs);
    }
    close(fd);
  }

  std::atomic<bool> stop_ = false;
  std::atomic<int> served_ = 0;
  int batches_ = 0;
  std::vector<std::vector<std::string>> closes_;
  std::thread thread_;
};

/// @return the ids of all requests that a sound server ran.
std::set<std::string> RunAtSoundServers() {
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

/// One of two servers with large answers breaks off one in fifty of them, three
/// times for some seconds. The servers of the requests behind are sound.
int PipelinedDownload(const CaseSettings& settings) {
  constexpr int kCannotRun = 2;
  constexpr int64_t kStartMs = 15'000;
  constexpr int64_t kGarbleMs = 5500;
  constexpr int kGarbleEvery = 50;
  constexpr int kTimes = 3;
  Fleet fleet(settings.daemon, settings.folder);
  const std::vector<std::string> zones = {"a", "b", "c"};
  for (const std::string& zone : zones) fleet.AddCore(zone);
  fleet.AddSidecar("a", "files");
  fleet.AddSidecar("a", "files");
  fleet.AddSidecar("a", "plots");
  fleet.AddSidecar("b", "plots");
  const size_t first_sidecar = zones.size();
  fleet.Machines()[first_sidecar].garble_every = kGarbleEvery;
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
  std::vector<std::unique_ptr<Requester>> requesters;
  const std::string entry = fleet.Machines().back().ip;
  for (int i = 1; i <= kConnections; ++i) {
    requesters.push_back(
        std::make_unique<Requester>(entry, fleet.AllPorts().outbound, i));
  }
  SleepMs(kStableWindowMs);
  for (int i = 0; i < kTimes; ++i) {
    if (settings.trouble) {
      Record("a server begins to break off answers");
      std::ofstream(fleet.GarbleFlag()) << "on";
    }
    SleepMs(kGarbleMs);
    unlink(fleet.GarbleFlag().c_str());
    Record("servers are sound");
    SleepMs(kStableWindowMs);
  }
  int served = 0;
  for (const auto& requester : requesters) {
    requester->Stop();
    served += requester->Served();
  }
  if (served == 0) return kCannotRun;
  const std::set<std::string> run = RunAtSoundServers();
  size_t closes = 0;
  size_t cut = 0;
  for (const auto& requester : requesters) {
    for (const std::vector<std::string>& unanswered : requester->Closes()) {
      size_t passed_on = 0;
      for (const std::string& id : unanswered) passed_on += run.count(id);
      if (passed_on > 0) ++closes;
      cut += passed_on;
    }
  }
  Record(std::to_string(served) + " requests were served; " +
         std::to_string(closes) +
         " kept connections were closed without an answer to " +
         std::to_string(cut) +
         " requests that sound servers had run; allowed are " +
         std::to_string(kClosesAllowed) + " times");
  return closes > kClosesAllowed ? 1 : 0;
}

}  // namespace review
