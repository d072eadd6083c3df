#include <atomic>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

#include "review/cases.h"
#include "review/fleet.h"
#include "review/net.h"

namespace review {
namespace {

constexpr int64_t kStableWindowMs = 3000;
constexpr int64_t kServerBackMs = 2500;
constexpr size_t kRetriesAllowed = 3;

constexpr char kConfig[] =
    R"({"version":1,"routes":{"columns":["name","hostname","path_prefix",)"
    R"("route_type","timeout_ms","target_latency_ms","priority",)"
    R"("traffic_split","max_attempts","service"],"rows":[)"
    R"(["r-orders","orders.example","/orders/","unsafe",1000,400,1,null,2,)"
    R"("orders"]]},"services":{"columns":["name","health_path",)"
    R"("max_connections","protocol","tls"],"rows":[)"
    R"(["orders","/health",130,"h1",false],)"
    R"(["front","/health",130,"h1",false]]},"limits":{)"
    R"("max_header_bytes":16384,"max_body_bytes":1048576,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"base_version":0})";

std::string Order(const std::string& id, const std::string& path) {
  const std::string body = "order";
  return "POST " + path +
         " HTTP/1.1\r\nHost: orders.example\r\nAttempt-Id: " + id +
         "\r\nTimeout-Ms: 1000\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string IdOf(const std::string& name, size_t number) {
  return name + "-" + std::to_string(number);
}

/// Sends requests, each at the next of some machines, until told to stop.
class Requester {
 public:
  Requester(const std::vector<std::string>& ips, const Ports& ports,
            const std::string& path, const std::string& name, int64_t pause_ms)
      : thread_([this, ips, port = ports.outbound, path, name, pause_ms] {
          for (size_t i = 1; !stop_; ++i) {
            SendOne(ips[i % ips.size()], port, IdOf(name, i), path);
            SleepMs(pause_ms);
          }
        }) {}
  ~Requester() { Stop(); }
  Requester(const Requester&) = delete;
  Requester& operator=(const Requester&) = delete;

  void Stop() {
    stop_ = true;
    if (thread_.joinable()) thread_.join();
  }
  int Served() const { return served_; }

 private:
  void SendOne(const std::string& ip, uint16_t port, const std::string& id,
               const std::string& path) {
    constexpr int kAnswerMs = 1500;
    Record("sent " + id + " at " + ip);
    const int status = Call(ip, port, Order(id, path), kAnswerMs);
    Record("answer to " + id + ": " + std::to_string(status));
    if (status == 200) ++served_;
  }

  std::atomic<bool> stop_ = false;
  std::atomic<int> served_ = 0;
  std::thread thread_;
};

/// @return when servers began to run the crashing request, in order.
std::vector<int64_t> CrashTimes() {
  std::vector<int64_t> times;
  std::ifstream record(RecordPath());
  std::string line;
  while (std::getline(record, line)) {
    if (line.find(" run bad-") == std::string::npos) continue;
    times.push_back(std::stoll(line));
  }
  return times;
}

void Wait(Fleet& fleet, int64_t ms) {
  const int64_t end = NowMs() + ms;
  while (NowMs() < end) {
    fleet.RestartEndedServers(kServerBackMs);
    SleepMs(20);
  }
}

}  // namespace

/// An order that crashes each server that runs it comes again, twice a second,
/// at the machines in turn. Meanwhile the daemons beside the servers are
/// stopped and started in turn.
int CrashingRequest(const CaseSettings& settings) {
  constexpr int kCannotRun = 2;
  constexpr int64_t kStartMs = 15'000;
  constexpr int64_t kTurnMs = 12'000;
  Fleet fleet(settings.daemon, settings.folder);
  const std::vector<std::string> zones = {"a", "b", "c"};
  for (const std::string& zone : zones) fleet.AddCore(zone);
  for (const std::string& zone : zones) fleet.AddSidecar(zone, "front");
  fleet.AddSidecar("a", "front");
  for (const std::string& zone : zones) fleet.AddSidecar(zone, "orders");
  fleet.AddSidecar("a", "orders");
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
  Wait(fleet, 2 * kStableWindowMs);
  std::vector<std::string> entries;
  for (const Machine& machine : fleet.Machines()) {
    if (machine.service == "front") entries.push_back(machine.ip);
  }
  Requester ordinary(entries, fleet.AllPorts(), "/orders/new", "good", 100);
  Wait(fleet, 1000);
  if (ordinary.Served() == 0) return kCannotRun;
  Requester crashing(entries, fleet.AllPorts(), "/orders/crash", "bad", 500);
  Wait(fleet, kTurnMs);
  for (Machine& machine : fleet.Machines()) {
    if (machine.service != "orders") continue;
    if (settings.trouble) {
      fleet.StopDaemon(machine);
      fleet.StartDaemon(machine);
    }
    Wait(fleet, kTurnMs);
  }
  crashing.Stop();
  ordinary.Stop();
  const std::vector<int64_t> crashes = CrashTimes();
  size_t retries = 0;
  for (size_t i = 3; i < crashes.size(); ++i) {
    if (crashes[i] > crashes[2] + kStableWindowMs) ++retries;
  }
  Record("the crashing request ran " + std::to_string(crashes.size()) +
         " times, " + std::to_string(retries) +
         " of them later than stable_window_ms after its third crash; allowed "
         "are " +
         std::to_string(kRetriesAllowed));
  return retries > kRetriesAllowed ? 1 : 0;
}

}  // namespace review
