#include <atomic>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/cases.h"
#include "review/fleet.h"
#include "review/net.h"

namespace review {
namespace {

constexpr int64_t kStableWindowMs = 3000;
constexpr int64_t kDrainMs = 2000;

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

std::string Order(const std::string& id) {
  return "POST /orders/new HTTP/1.1\r\nHost: orders.example\r\nAttempt-Id: " +
         id + "\r\nTimeout-Ms: 1000\r\nContent-Length: 5\r\n\r\norder";
}

/// Sends orders at one machine, each on a new connection.
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
  int Served() const { return served_; }

 private:
  void SendOne(const std::string& ip, uint16_t port, const std::string& name,
               int number) {
    constexpr int kAnswerMs = 1000;
    const std::string id = name + "-" + std::to_string(number);
    Record("sent " + id + " at " + ip);
    const int status = Call(ip, port, Order(id), kAnswerMs);
    Record("answer to " + id + ": " + std::to_string(status));
    if (status == 200) ++served_;
  }

  std::atomic<bool> stop_ = false;
  std::atomic<int> served_ = 0;
  std::thread thread_;
};

/// @return when lines with a text were recorded.
std::vector<int64_t> TimesOf(const std::string& text) {
  std::vector<int64_t> times;
  std::ifstream record(RecordPath());
  std::string line;
  while (std::getline(record, line)) {
    if (line.find(text) != std::string::npos) times.push_back(std::stoll(line));
  }
  return times;
}

}  // namespace

/// A server deregisters. Right after that, all processes of the system are
/// killed; they are back within a second. A check-in that the server had sent
/// before arrives late.
int ForgottenLeave(const CaseSettings& settings) {
  constexpr int kCannotRun = 2;
  constexpr int64_t kStartMs = 15'000;
  constexpr int64_t kKillMs = 300;
  constexpr int64_t kDownMs = 700;
  constexpr int64_t kRestMs = 11'000;
  Fleet fleet(settings.daemon, settings.folder);
  const std::vector<std::string> zones = {"a", "b", "c"};
  for (const std::string& zone : zones) fleet.AddCore(zone);
  for (const std::string& zone : zones) fleet.AddSidecar(zone, "front");
  for (const std::string& zone : zones) fleet.AddSidecar(zone, "orders");
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
  for (const Machine& machine : fleet.Machines()) {
    if (machine.service != "front") continue;
    requesters.push_back(std::make_unique<Requester>(
        machine.ip, fleet.AllPorts().outbound, "o-" + machine.name));
  }
  SleepMs(kStableWindowMs);
  const Machine& leaving = fleet.Machines().back();  // The one in its zone.
  std::ofstream(fleet.LeaveFlag(leaving)) << "leave";
  SleepMs(kKillMs);
  if (settings.trouble) {
    for (Machine& machine : fleet.Machines()) fleet.KillDaemon(machine);
    SleepMs(kDownMs);
    for (Machine& machine : fleet.Machines()) fleet.StartDaemon(machine);
  }
  // Twice the window, as most of the core was taken.
  const int64_t in_touch = NowMs() - RecordStart() + 2 * kStableWindowMs;
  SleepMs(kRestMs);
  int served = 0;
  for (const auto& requester : requesters) {
    requester->Stop();
    served += requester->Served();
  }
  const std::string server = "i-" + leaving.name + "-1";
  const std::vector<int64_t> acknowledged =
      TimesOf("deregistered " + server + ": 200");
  if (served == 0 || acknowledged.empty()) return kCannotRun;
  size_t late = 0;
  size_t before = 0;
  for (const int64_t time : TimesOf(" at " + server + " for ")) {
    if (time <= acknowledged.front()) ++before;
    if (time > acknowledged.front() + kDrainMs && time > in_touch) ++late;
  }
  if (before == 0) return kCannotRun;
  Record(std::to_string(late) + " orders reached " + server +
         " later than drain_ms after its deregistration was acknowledged, when "
         "all machines had been in touch; allowed is none");
  return late > 0 ? 1 : 0;
}

}  // namespace review
