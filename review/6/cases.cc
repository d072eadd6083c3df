// The cases of the second review that are scripts. Each starts a small
// deployment, sends requests and judges what its stand-ins have seen. Exits
// with 1 when the rule was broken, 0 when it held and 2 when it couldn't run.

#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "review/6/deployment.h"
#include "review/6/net.h"

namespace hibiscusglade::review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;
constexpr char kHost[] = "shop.example";

struct Context {
  std::string daemon;
  std::string folder;
  Record& record;
  bool trouble = true;
};

/// The routes of a configuration, each row as JSON, and what may be left out.
struct Config {
  int version = 0;
  int base_version = 0;
  std::string route_rows;
  std::string services = "[[\"svc\",\"/health\",130,\"h1\",false]]";
  int max_header_bytes = 16384;
};

std::string TextOf(const Config& config) {
  return "{\"version\":" + std::to_string(config.version) +
         ",\"routes\":{\"columns\":[\"name\",\"hostname\",\"path_prefix\","
         "\"route_type\",\"timeout_ms\",\"target_latency_ms\",\"priority\","
         "\"traffic_split\",\"max_attempts\",\"service\"],\"rows\":[" +
         config.route_rows +
         "]},\"services\":{\"columns\":[\"name\",\"health_path\","
         "\"max_connections\",\"protocol\",\"tls\"],\"rows\":" +
         config.services + "},\"limits\":{\"max_header_bytes\":" +
         std::to_string(config.max_header_bytes) +
         ",\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
         "\"idle_timeout_ms\":15000}" +
         ",\"base_version\":" + std::to_string(config.base_version) + "}";
}

/// A safe route to the service `svc`.
std::string SafeRoute(const std::string& path, int timeout_ms,
                      int max_attempts) {
  return "[\"r-" + path + "\",\"" + kHost + "\",\"/" + path + "/\",\"safe\"," +
         std::to_string(timeout_ms) + ",500,1,null," +
         std::to_string(max_attempts) + ",\"svc\"]";
}

std::string HeadOf(const std::string& id, int timeout_ms) {
  return "Host: " + std::string(kHost) + "\r\nAttempt-Id: " + id +
         "\r\nTimeout-Ms: " + std::to_string(timeout_ms) + "\r\n";
}

/// Servers beside all sidecars.
std::vector<std::unique_ptr<Server>> ServersOf(const Deployment& deployment,
                                               Record& record) {
  std::vector<std::unique_ptr<Server>> servers;
  for (const Machine& machine : deployment.Sidecars()) {
    servers.push_back(
        std::make_unique<Server>("i-" + std::to_string(servers.size() + 1),
                                 machine, deployment.PortNumbers(), record));
  }
  return servers;
}

/// Starts all, sends the first configuration and waits until it serves.
bool Begin(Deployment& deployment, const Config& config,
           std::vector<std::unique_ptr<Server>>& servers) {
  constexpr int64_t kSettleMs = 3000;
  if (!deployment.Start()) return false;
  for (const auto& server : servers) {
    if (!server->Start()) return false;
  }
  SleepMs(kSettleMs);
  if (deployment.SendConfig(TextOf(config)) != 200) return false;
  if (!deployment.WaitUntilReady(10'000)) return false;
  SleepMs(kSettleMs);
  return true;
}

/// Rule CONFIG: after the planned replacement of a core machine and the loss of
/// another one's disk, the configuration can't be read any more.
int ReplacedCore(const Context& context) {
  constexpr int64_t kCatchUpMs = 4000;
  constexpr int64_t kGraceMs = 6000;
  constexpr int64_t kDownMs = 3000;
  constexpr int64_t kRecoveryMs = 15'000;
  constexpr int64_t kReadingMs = 15'000;
  Deployment deployment(context.daemon, context.folder, {"svc", "svc", "svc"},
                        context.record);
  auto servers = ServersOf(deployment, context.record);
  Config config{1, 0, SafeRoute("shop", 1000, 2)};
  if (!Begin(deployment, config, servers)) return kCouldNotRun;
  // The new machine comes first and has its time to catch up, and more.
  if (!deployment.AddCore("zone-c")) return kCouldNotRun;
  SleepMs(2 * kCatchUpMs);
  std::vector<Machine>& core = deployment.Core();
  deployment.Stop(core[2], kGraceMs);
  SleepMs(500);
  if (context.trouble) {
    deployment.Kill(core[1]);
    SleepMs(kDownMs);
    if (!deployment.RestartWithoutDisk(core[1])) return kCouldNotRun;
  }
  SleepMs(kRecoveryMs);
  int reads = 0;
  int answered = 0;
  for (const int64_t end = NowMs() + kReadingMs; NowMs() < end;) {
    for (const size_t i : {0, 1, 3}) {
      const Message read = deployment.ReadConfig(core[i]);
      ++reads;
      if (read.Status() == 200) ++answered;
      context.record.Line("a read at " + core[i].ip + " gets " +
                          std::to_string(read.Status()));
    }
    SleepMs(500);
  }
  context.record.Line(std::to_string(answered) + " of " +
                      std::to_string(reads) + " reads were answered, from " +
                      std::to_string(kRecoveryMs) +
                      " ms after all machines were back");
  return answered == 0 ? kBroken : kHeld;
}

/// Rule LOST: a request that its server works on is broken off by a stop.
int Stop(const Context& context) {
  constexpr int64_t kGraceMs = 10'000;
  constexpr int64_t kWorkMs = 7000;
  constexpr int64_t kBeforeStopMs = 1000;
  constexpr int kTimeoutMs = 9000;
  constexpr int kOrders = 5;
  Deployment deployment(context.daemon, context.folder, {"svc", "front"},
                        context.record);
  auto servers = ServersOf(deployment, context.record);
  std::mutex mutex;
  std::map<std::string, int64_t> ended;
  servers[0]->work = [](const Message&) { return kWorkMs; };
  servers[0]->ending = [&](const Message& request) {
    const std::lock_guard lock(mutex);
    ended[request.Field("attempt-id")] = NowMs();
    return Outcome::kAnswer;
  };
  Config config{1, 0,
                "[\"r-order\",\"" + std::string(kHost) +
                    "\",\"/order/\",\"unsafe\"," + std::to_string(kTimeoutMs) +
                    ",8000,1,null,2,\"svc\"]"};
  config.services =
      "[[\"svc\",\"/health\",130,\"h1\",false],"
      "[\"front\",\"/health\",130,\"h1\",false]]";
  if (!Begin(deployment, config, servers)) return kCouldNotRun;
  const Machine& front = deployment.Sidecars()[1];
  std::map<std::string, Message> answers;
  std::vector<std::thread> requesters;
  for (int i = 0; i < kOrders; ++i) {
    requesters.emplace_back([&, id = "order-" + std::to_string(i)] {
      const Message answer =
          Call(front.ip, deployment.PortNumbers().outbound,
               RequestText("POST /order/" + id, HeadOf(id, kTimeoutMs), "one"),
               kTimeoutMs + 500);
      context.record.Line("the requester gets " +
                          std::to_string(answer.Status()) + " for " + id);
      const std::lock_guard lock(mutex);
      answers[id] = answer;
    });
  }
  SleepMs(kBeforeStopMs);
  const int64_t stopped_ms = NowMs();
  if (context.trouble) {
    kill(front.process, SIGTERM);
    context.record.Line("SIGTERM to the daemon of " + front.ip);
  }
  for (std::thread& requester : requesters) requester.join();
  SleepMs(stopped_ms + kWorkMs - NowMs());
  const std::lock_guard lock(mutex);
  int lost = 0;
  for (const auto& [id, answer] : answers) {
    const auto run = ended.find(id);
    if (run == ended.end()) return kCouldNotRun;
    const int64_t after_stop = run->second - stopped_ms;
    context.record.Line("the server ended " + id + " " +
                        std::to_string(after_stop) + " ms after the stop");
    const bool in_time = after_stop < kGraceMs * 5 / 6;
    const bool own_answer = answer.Field("response-signature").empty();
    if (in_time && (!answer.whole || own_answer)) ++lost;
  }
  context.record.Line(std::to_string(lost) + " of " + std::to_string(kOrders) +
                      " requests were broken off");
  return lost > 0 ? kBroken : kHeld;
}

/// Rule BUDGET: arrivals beyond the first of each request.
int Repeats(const Context& context) {
  constexpr int64_t kWindowMs = 10'000;
  constexpr double kRatio = 0.2;
  constexpr double kSlack = 62;
  constexpr int kPerSecond = 20;
  constexpr int kTimeoutMs = 1000;
  constexpr int kLostOfTen = 4;
  Deployment deployment(context.daemon, context.folder, {"svc", "svc", "svc"},
                        context.record);
  auto servers = ServersOf(deployment, context.record);
  std::mutex mutex;
  std::map<std::string, std::vector<int64_t>> arrivals;
  std::atomic<int> runs{0};
  std::atomic<bool> loses{false};
  for (const auto& server : servers) {
    server->on_run = [&](const Message& request) {
      const std::lock_guard lock(mutex);
      arrivals[request.Field("attempt-id")].push_back(NowMs());
    };
    server->work = [](const Message&) { return 20; };
    server->ending = [&](const Message&) {
      const bool lost = loses && ++runs % 10 < kLostOfTen;
      return lost ? Outcome::kReset : Outcome::kAnswer;
    };
  }
  if (!Begin(deployment, {1, 0, SafeRoute("shop", kTimeoutMs, 2)}, servers)) {
    return kCouldNotRun;
  }
  std::atomic<int> sent{0};
  const auto request_all = [&](const Machine& machine, int64_t end) {
    std::vector<std::thread> open;
    for (int i = 0; NowMs() < end; ++i) {
      const std::string id = machine.ip + "-" + std::to_string(sent++);
      open.emplace_back([&, id, ip = machine.ip] {
        Call(ip, deployment.PortNumbers().outbound,
             RequestText("GET /shop/" + id, HeadOf(id, kTimeoutMs), ""),
             kTimeoutMs + 500);
      });
      SleepMs(1000 / kPerSecond);
    }
    for (std::thread& thread : open) thread.join();
  };
  const auto request_for = [&](int64_t span_ms) {
    const int64_t end = NowMs() + span_ms;
    std::vector<std::thread> requesters;
    for (const Machine& machine : deployment.Sidecars()) {
      requesters.emplace_back([&, end] { request_all(machine, end); });
    }
    for (std::thread& requester : requesters) requester.join();
  };
  request_for(3000);
  const int before = sent;
  const int64_t begin = NowMs();
  loses = context.trouble;
  request_for(kWindowMs - 1000);
  loses = false;
  const std::lock_guard lock(mutex);
  int again = 0;
  size_t most = 0;
  for (const auto& [id, times] : arrivals) {
    most = std::max(most, times.size());
    for (size_t i = 1; i < times.size(); ++i) {
      if (times[i] >= begin && times[i] < begin + kWindowMs) ++again;
    }
  }
  // The window before it may have more requests; all are counted.
  const double allowed = kRatio * sent + kSlack;
  context.record.Line(
      std::to_string(again) + " arrivals beyond the first of their request, " +
      std::to_string(sent - before) + " requests in the window, " +
      std::to_string(static_cast<int>(allowed)) + " allowed for all " +
      std::to_string(sent) + "; one request arrived " + std::to_string(most) +
      " times");
  return again > allowed ? kBroken : kHeld;
}

/// Rule Fault: processes end by themselves, as they use more memory than their
/// machines allow.
int Uploads(const Context& context) {
  constexpr uint64_t kMemoryBytes = uint64_t{110} << 20U;
  constexpr size_t kBodyBytes = 30'000'000;
  constexpr int64_t kWorkMs = 2500;
  constexpr int kTimeoutMs = 20'000;
  constexpr size_t kUpstreams = 2;
  constexpr size_t kFronts = 10;
  constexpr int kRounds = 7;
  constexpr int kEnds = 3;
  std::vector<std::string> services(kUpstreams, "svc");
  services.resize(kUpstreams + kFronts, "front");
  Deployment deployment(context.daemon, context.folder, services,
                        context.record);
  auto servers = ServersOf(deployment, context.record);
  for (const auto& server : servers) {
    server->work = [](const Message&) { return kWorkMs; };
  }
  Config config{1, 0,
                "[\"r-up\",\"" + std::string(kHost) +
                    "\",\"/up/\",\"unsafe\"," + std::to_string(kTimeoutMs) +
                    ",15000,1,null,2,\"svc\"]"};
  config.services =
      "[[\"svc\",\"/health\",130,\"h1\",false],"
      "[\"front\",\"/health\",130,\"h1\",false]]";
  if (!Begin(deployment, config, servers)) return kCouldNotRun;
  std::atomic<bool> done{false};
  uint64_t most = 0;
  std::thread platform([&] {
    while (!done) {
      most = std::max(most, deployment.RestartThoseAbove(kMemoryBytes));
      SleepMs(10);
    }
  });
  const std::string body(kBodyBytes, 'b');
  const auto broken = [&] {
    return std::ranges::count_if(deployment.Sidecars(), [](const Machine& m) {
      return m.ends >= kEnds;
    });
  };
  std::atomic<int> served{0};
  for (int round = 0; round < (context.trouble ? kRounds : 1); ++round) {
    std::vector<std::thread> requesters;
    for (size_t i = kUpstreams; i < kUpstreams + kFronts; ++i) {
      const std::string id =
          "up-" + std::to_string(round) + "-" + std::to_string(i);
      requesters.emplace_back([&, id, ip = deployment.Sidecars()[i].ip] {
        const Message answer =
            Call(ip, deployment.PortNumbers().outbound,
                 RequestText("POST /up/" + id, HeadOf(id, kTimeoutMs), body),
                 kTimeoutMs + 500);
        if (answer.Status() == 200) ++served;
        context.record.Line("the requester gets " +
                            std::to_string(answer.Status()) + " for " + id);
      });
      // Without the burst, one comes after the other.
      if (!context.trouble) requesters.back().join();
    }
    for (std::thread& requester : requesters) {
      if (requester.joinable()) requester.join();
    }
    if (broken() >= 2) break;
    // Until the servers have checked in with the daemons that were restarted.
    SleepMs(3000);
  }
  done = true;
  platform.join();
  for (const Machine& machine : deployment.Sidecars()) {
    if (machine.ends == 0) continue;
    context.record.Line("the daemon of " + machine.ip + " has ended " +
                        std::to_string(machine.ends) + " times");
  }
  context.record.Line("the most memory that a daemon used is " +
                      std::to_string(most / 1000) + " kB of " +
                      std::to_string(kMemoryBytes / 1000) + "; " +
                      std::to_string(served) + " uploads were answered by 200");
  return broken() >= 2 ? kBroken : kHeld;
}

/// Rule DENIED: proper requests end with a 4xx of the system's own.
int SlowHeads(const Context& context) {
  constexpr int kRequests = 30;
  constexpr size_t kHeadBytes = 16'000;
  constexpr size_t kPieceBytes = 64;
  constexpr int kTimeoutMs = 3000;
  Deployment deployment(context.daemon, context.folder, {"svc", "svc", "svc"},
                        context.record);
  auto servers = ServersOf(deployment, context.record);
  if (!Begin(deployment, {1, 0, SafeRoute("shop", kTimeoutMs, 2)}, servers)) {
    return kCouldNotRun;
  }
  std::atomic<int> denied{0};
  std::atomic<int> served{0};
  std::vector<std::thread> requesters;
  for (int i = 0; i < kRequests; ++i) {
    requesters.emplace_back([&, i] {
      const std::string id = "head-" + std::to_string(i);
      std::string head = HeadOf(id, kTimeoutMs);
      std::string text = RequestText("GET /shop/x", head, "");
      const size_t filler = kHeadBytes - text.size() - 13;
      head += "X-Session: " + std::string(filler, 's') + "\r\n";
      text = RequestText("GET /shop/x", head, "");
      const int descriptor = ConnectTo(deployment.Sidecars()[0].ip,
                                       deployment.PortNumbers().outbound, 1000);
      const size_t piece = context.trouble ? kPieceBytes : text.size();
      for (size_t at = 0; at < text.size(); at += piece) {
        if (!SendAll(descriptor, text.substr(at, piece))) break;
        SleepMs(3);
      }
      Stream stream(descriptor);
      const auto answer = stream.Read(NowMs() + kTimeoutMs);
      const int status = answer.has_value() ? answer->Status() : 0;
      close(descriptor);
      context.record.Line("a head of " + std::to_string(text.size()) +
                          " bytes gets " + std::to_string(status));
      if (status == 200) ++served;
      if (status >= 300 && status < 500 && status != 408 && status != 421 &&
          status != 429) {
        ++denied;
      }
    });
  }
  for (std::thread& requester : requesters) requester.join();
  const double allowed = 5 + kRequests / 500.0;
  context.record.Line(std::to_string(denied) + " of " +
                      std::to_string(kRequests) + " requests denied, " +
                      std::to_string(served) + " served");
  if (denied > allowed) return kBroken;
  return served == kRequests ? kHeld : kCouldNotRun;
}

int RunCase(const std::string& name, const Context& context) {
  if (name == "replaced-core") return ReplacedCore(context);
  if (name == "stop") return Stop(context);
  if (name == "repeats") return Repeats(context);
  if (name == "uploads") return Uploads(context);
  if (name == "slow-heads") return SlowHeads(context);
  return kCouldNotRun;
}

}  // namespace
}  // namespace hibiscusglade::review

/// Arguments: the case, the daemon's program, a temporary folder and the path
/// of the record.
int main(int argc, char** argv) {
  using hibiscusglade::review::Context;
  using hibiscusglade::review::Record;
  if (argc != 5) return hibiscusglade::review::kCouldNotRun;
  const char* trouble = std::getenv("TROUBLE");
  Record record(argv[4]);
  const Context context{argv[2], argv[3], record,
                        trouble == nullptr || std::string(trouble) != "0"};
  const int result = hibiscusglade::review::RunCase(argv[1], context);
  record.Line(result == hibiscusglade::review::kHeld     ? "the rule held"
              : result == hibiscusglade::review::kBroken ? "the rule was broken"
                                                         : "could not run");
  std::cout << argv[1] << ": exit " << result << "\n";
  return result;
}
