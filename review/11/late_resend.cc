// Servers lose answers. One of them leaves; a request that it has run is sent
// to it again after its leave was acknowledged.
//   late_resend PROGRAM FOLDER RECORD TROUBLE
#include <iostream>

#include "installation.h"

namespace review {
namespace {

constexpr int kWarm = 6;
constexpr int kLong = 3;
constexpr milliseconds kLongWork{2600};
constexpr milliseconds kDrain{2000};  ///< The bound drain_ms.
constexpr char kHost[] = "desk.example";
constexpr char kConfiguration[] =
    R"({"version":1,"routes":{"columns":["name","hostname","path_prefix",)"
    R"("route_type","timeout_ms","target_latency_ms","priority",)"
    R"("traffic_split","max_attempts","service"],"rows":[["r-1",)"
    R"("desk.example","/pages/","safe",4000,1000,2,null,2,"catalog"]]},)"
    R"("services":{"columns":["name","health_path","max_connections",)"
    R"("protocol","tls"],"rows":[["catalog","/health",130,"h1",false]]},)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"base_version":0})";

/// Requests that reached the servers.
class Arrivals {
 public:
  void Add(const std::string& ip, const std::string& attempt) {
    const std::lock_guard<std::mutex> lock(mutex_);
    all_.push_back({ip, attempt, Clock::now()});
  }
  int CountAt(const std::string& ip, Clock::time_point after) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return static_cast<int>(
        std::count_if(all_.begin(), all_.end(), [&](const Arrival& arrival) {
          return arrival.ip == ip && arrival.at > after;
        }));
  }

 private:
  struct Arrival {
    std::string ip;
    std::string attempt;
    Clock::time_point at;
  };
  std::mutex mutex_;
  std::vector<Arrival> all_;
};

/// Sends requests at the same time, and waits for their answers.
void SendAtOnce(const std::string& ip, const std::string& kind, int count,
                const Record& record) {
  std::vector<std::thread> threads;
  for (int i = 0; i < count; ++i) {
    threads.emplace_back([&ip, &kind, &record, i] {
      const std::string id = kind + "-" + std::to_string(i);
      std::string request = "GET /pages/";
      request.append(id).append(" HTTP/1.1\r\nHost: ").append(kHost);
      request.append("\r\nAttempt-Id: ").append(id);
      request.append("\r\nTimeout-Ms: 4000\r\n\r\n");
      const Message answer =
          Call(ip, kOutboundPort, request, milliseconds(4500));
      record.Line(id + " is answered " + std::to_string(answer.Status()));
    });
  }
  for (std::thread& thread : threads) thread.join();
}

int Run(const std::string& program, const std::string& folder, Record& record,
        bool trouble) {
  Installation installation(program, folder);
  installation.StartCore();
  Arrivals arrivals;
  std::list<Server> servers;
  for (int i = 0; i < 3; ++i) {
    installation.StartSide(i, "catalog");
    const std::string ip = installation.Side(i);
    servers.emplace_back(
        ip, Installation::Zone(i), "catalog", 13,
        [&arrivals, ip, trouble](const Message& request) {
          const std::string attempt = request.Field("Attempt-Id");
          arrivals.Add(ip, attempt);
          Reaction reaction;
          reaction.work = milliseconds(200);
          if (attempt.starts_with("long")) {
            reaction.work = kLongWork;
            reaction.lost = trouble;
          }
          return reaction;
        },
        record);
  }
  if (!installation.Configure(kConfiguration, record) ||
      !installation.WaitUntilServed(0, kHost, "/pages/")) {
    return 2;
  }
  std::this_thread::sleep_for(milliseconds(4000));
  const std::string leaving = installation.Side(0);
  SendAtOnce(leaving, "short", kWarm, record);
  std::thread requesters([&] { SendAtOnce(leaving, "long", kLong, record); });
  std::this_thread::sleep_for(milliseconds(200));
  const bool acknowledged = servers.front().Drain();
  const auto bound = Clock::now() + kDrain;
  requesters.join();
  std::this_thread::sleep_for(milliseconds(3000));
  if (!acknowledged) return 2;
  const int late = arrivals.CountAt(leaving, bound);
  const std::string result =
      std::to_string(late) +
      " requests reached the server later than drain_ms after its leave was "
      "acknowledged";
  record.Line(result);
  std::cout << result << "\n";
  return late > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 5) return 2;
  review::Record record(argv[3]);
  return review::Run(argv[1], argv[2], record, std::string(argv[4]) != "0");
}
