// The limit of a tenant is lowered by one request a second while the tenant
// sends several times what it allows.
//   lowered_limit PROGRAM FOLDER RECORD TROUBLE
#include <iostream>

#include "installation.h"

namespace review {
namespace {

constexpr int kMachines = 6;
constexpr int kRate = 60;
constexpr int kBurst = 100;
// The bounds quota_window_s, quota_overage and quota_slack.
constexpr milliseconds kWindow{5000};
constexpr double kOverage = 0.1;
constexpr int kSlack = 20;
constexpr milliseconds kBeforeChange{2000};
constexpr milliseconds kAfterChange{10000};
/// Between two requests of one machine: 270 a second from all.
constexpr milliseconds kPause{22};
constexpr char kHost[] = "desk.example";

std::string Configuration(int version, int base, int rate) {
  std::string text = "{\"version\":" + std::to_string(version);
  text +=
      R"(,"routes":{"columns":["name","hostname","path_prefix","route_type",)"
      R"("timeout_ms","target_latency_ms","priority","traffic_split",)"
      R"("max_attempts","service","public"],"rows":[["r-1","desk.example",)"
      R"("/search/","safe",2500,400,2,null,2,"lightbox",false],["r-2",)"
      R"("desk.example","/pages/","safe",2500,400,2,null,2,"lightbox",true]]},)"
      R"("services":{"columns":["name","health_path","max_connections",)"
      R"("protocol","tls"],"rows":[["lightbox","/health",460,"h1",false]]},)"
      R"("tenants":{"columns":["name","api_keys","priority","rate_per_s",)"
      R"("burst"],"rows":[["agency-a",["key-of-a"],1,)";
  text += std::to_string(rate) + "," + std::to_string(kBurst);
  text +=
      R"(],["agency-b",["key-of-b"],1,0,0]]},"limits":{"max_header_bytes":16384,)"
      R"("max_body_bytes":67108864,"header_timeout_ms":3000,)"
      R"("idle_timeout_ms":15000},"base_version":)";
  return text + std::to_string(base) + "}";
}

/// The times at which requests of the tenant were run.
class Runs {
 public:
  void Add() {
    const std::lock_guard<std::mutex> lock(mutex_);
    all_.push_back(Clock::now());
  }
  /// @return the most runs in any window.
  int MostInWindow() {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::sort(all_.begin(), all_.end());
    size_t most = 0;
    size_t first = 0;
    for (size_t last = 0; last < all_.size(); ++last) {
      while (all_[last] - all_[first] > kWindow) ++first;
      most = std::max(most, last - first + 1);
    }
    return static_cast<int>(most);
  }

 private:
  std::mutex mutex_;
  std::vector<Clock::time_point> all_;
};

/// Sends requests of the tenant on a kept connection, whatever is answered.
void SendSearches(const std::string& ip, int number,
                  const std::atomic<bool>& stopping, const Record& record) {
  Socket connection = ConnectTo(ip, kOutboundPort);
  Reader reader(connection);
  Message answer;
  auto next = Clock::now();
  for (int i = 0; !stopping; ++i) {
    const std::string id =
        "search-" + std::to_string(number) + "-" + std::to_string(i);
    std::string request = "GET /search/";
    request.append(id).append(" HTTP/1.1\r\nHost: ").append(kHost);
    request.append("\r\nAuthorization: Bearer key-of-a\r\nAttempt-Id: ");
    request.append(id).append("\r\nTimeout-Ms: 2500\r\n\r\n");
    if (!SendAll(connection, request) ||
        !reader.Read(answer, Clock::now() + milliseconds(3000))) {
      record.Line(id + ": no answer");
      return;
    }
    record.Line(id + " is answered " + std::to_string(answer.Status()));
    next += kPause;
    std::this_thread::sleep_until(next);
  }
}

int Run(const std::string& program, const std::string& folder, Record& record,
        bool trouble) {
  Installation installation(program, folder);
  installation.StartCore();
  Runs runs;
  std::list<Server> servers;
  for (int i = 0; i < kMachines; ++i) {
    installation.StartSide(i, "lightbox");
    servers.emplace_back(
        installation.Side(i), Installation::Zone(i), "lightbox", 6,
        [&runs](const Message& request) {
          if (request.Field("Tenant-Id") == "agency-a") runs.Add();
          return Reaction{};
        },
        record);
  }
  if (!installation.Configure(Configuration(1, 0, kRate), record)) return 2;
  for (int i = 0; i < kMachines; ++i) {
    if (!installation.WaitUntilServed(i, kHost, "/pages/")) return 2;
  }
  std::this_thread::sleep_for(milliseconds(6000));
  std::atomic<bool> stopping{false};
  std::vector<std::thread> requesters;
  for (int i = 0; i < kMachines; ++i) {
    requesters.emplace_back(
        [&, i] { SendSearches(installation.Side(i), i, stopping, record); });
  }
  std::this_thread::sleep_for(kBeforeChange);
  const bool changed = !trouble || installation.Configure(
                                       Configuration(3, 1, kRate - 1), record);
  std::this_thread::sleep_for(kAfterChange);
  stopping = true;
  for (std::thread& thread : requesters) thread.join();
  if (!changed) return 2;
  const int allowed = static_cast<int>(
      (kRate * std::chrono::duration<double>(kWindow).count() + kBurst) *
          (1 + kOverage) +
      kSlack);
  const int most = runs.MostInWindow();
  const std::string result = std::to_string(most) +
                             " requests of the tenant ran in 5 s; " +
                             std::to_string(allowed) + " are allowed";
  record.Line(result);
  std::cout << result << "\n";
  return most > allowed ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  review::Record record(argv[3]);
  return review::Run(argv[1], argv[2], record, std::string(argv[4]) != "0");
}
