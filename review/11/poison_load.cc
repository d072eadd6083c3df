// A request that crashes the server that begins to run it comes again and
// again, while the servers of its service also send downloads.
//   poison_load PROGRAM FOLDER RECORD TROUBLE
// DOWNLOADS=0 in the environment leaves the downloads out.
#include <iostream>

#include "installation.h"

namespace review {
namespace {

constexpr int kEntries = 3;
constexpr int kServers = 3;
/// The largest of the site has 1.7 MB.
constexpr size_t kDrawingBytes = 800000;
constexpr int kReadersOfEntry = 5;
/// The rate of a machine's link at the site.
constexpr char kLinkMbps[] = "28.7";
constexpr milliseconds kPauseOfPoison{3000};
constexpr milliseconds kStableWindow{3000};
constexpr milliseconds kDownTime{3000};
constexpr milliseconds kLength{60000};
constexpr int kFirstCrashes = 3;
constexpr int kAllowedRetries = 3;
constexpr int kCrashed = 9;
constexpr char kHost[] = "desk.example";
constexpr char kPoison[] = "poison";
constexpr char kConfiguration[] =
    R"({"version":1,"routes":{"columns":["name","hostname","path_prefix",)"
    R"("route_type","timeout_ms","target_latency_ms","priority",)"
    R"("traffic_split","max_attempts","service"],"rows":[["r-1",)"
    R"("desk.example","/drawings/","download",4000,3000,2,null,2,"docs"],)"
    R"(["r-2","desk.example","/deposits/","unsafe",3000,800,2,null,2,"docs"],)"
    R"(["r-3","desk.example","/pages/","safe",1000,300,2,null,2,"catalog"]]},)"
    R"("services":{"columns":["name","health_path","max_connections",)"
    R"("protocol","tls"],"rows":[["docs","/health",130,"h1",false],)"
    R"(["catalog","/health",130,"h1",false]]},"limits":{)"
    R"("max_header_bytes":16384,"max_body_bytes":67108864,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"base_version":0})";

/// The program of one server, in a process of its own.
int RunServer(const std::string& ip, const std::string& zone,
              const std::string& id_end, const std::string& record_path,
              int64_t began) {
  Record record(record_path, Clock::time_point(Clock::duration(began)));
  const Server server(
      ip, zone, "docs", 13,
      [&record](const Message& request) {
        Reaction reaction;
        if (request.body == kPoison) {
          record.Line("a server crashes by poison");
          _exit(kCrashed);
        }
        if (request.first_line.starts_with("GET /drawings/")) {
          reaction.body = std::string(kDrawingBytes, 'd');
          reaction.work = milliseconds(30);
        }
        return reaction;
      },
      record, id_end);
  while (server.Ok()) std::this_thread::sleep_for(milliseconds(100));
  return 2;
}

/// Keeps the servers running: each is back some seconds after its crash.
class Servers {
 public:
  Servers(const Installation& installation, std::string record_path,
          const Record& record)
      : installation_(installation),
        record_path_(std::move(record_path)),
        began_(record.Began().time_since_epoch().count()) {
    for (int i = 0; i < kServers; ++i) Start(i);
  }
  ~Servers() {
    for (const auto& [number, pid] : processes_) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }
  Servers(const Servers&) = delete;
  Servers& operator=(const Servers&) = delete;

  void Tend() {
    for (auto item = processes_.begin(); item != processes_.end();) {
      if (waitpid(item->second, nullptr, WNOHANG) == item->second) {
        back_at_[item->first] = Clock::now() + kDownTime;
        item = processes_.erase(item);
      } else {
        ++item;
      }
    }
    for (auto item = back_at_.begin(); item != back_at_.end();) {
      if (Clock::now() >= item->second) {
        Start(item->first);
        item = back_at_.erase(item);
      } else {
        ++item;
      }
    }
  }

 private:
  void Start(int number) {
    const std::string ip = installation_.Side(kEntries + number);
    const std::string zone = Installation::Zone(kEntries + number);
    const std::string id_end = "-" + std::to_string(++lifetimes_);
    const std::string began = std::to_string(began_);
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      execl("/proc/self/exe", "poison_load", "server", ip.c_str(), zone.c_str(),
            id_end.c_str(), record_path_.c_str(), began.c_str(), nullptr);
      _exit(127);
    }
    processes_[number] = pid;
  }

  const Installation& installation_;
  const std::string record_path_;
  const int64_t began_;
  int lifetimes_ = 0;
  std::map<int, pid_t> processes_;
  std::map<int, Clock::time_point> back_at_;
};

/// Asks for drawings one after the other.
void ReadDrawings(const std::string& ip, const std::string& name,
                  const std::atomic<bool>& stopping, std::atomic<int>& whole,
                  std::atomic<int>& refused) {
  for (int number = 0; !stopping; ++number) {
    std::string id = name;
    id.append("-").append(std::to_string(number));
    std::string request = "GET /drawings/";
    request.append(id).append(" HTTP/1.1\r\nHost: ").append(kHost);
    request.append("\r\nAttempt-Id: ").append(id);
    request.append("\r\nTimeout-Ms: 4000\r\nConnection: close\r\n\r\n");
    const Message answer = Call(ip, kOutboundPort, request, milliseconds(4000));
    if (answer.Status() == 200 && answer.body.size() == kDrawingBytes) {
      ++whole;
      continue;
    }
    ++refused;
    std::this_thread::sleep_for(milliseconds(100));
  }
}

/// @return the times at which poison crashed a server.
std::vector<int64_t> CrashesIn(const std::string& record_path) {
  std::vector<int64_t> times;
  std::ifstream file(record_path);
  std::string line;
  while (std::getline(file, line)) {
    if (line.find("crashes by poison") != std::string::npos) {
      times.push_back(std::strtoll(line.c_str(), nullptr, 10));
    }
  }
  return times;
}

int Run(const std::string& program, const std::string& folder,
        const std::string& record_path, bool trouble, bool downloads) {
  Record record(record_path);
  Installation installation(program, folder, kLinkMbps);
  installation.StartCore();
  std::list<Server> catalog;
  for (int i = 0; i < kEntries; ++i) {
    installation.StartSide(i, "catalog");
    catalog.emplace_back(
        installation.Side(i), Installation::Zone(i), "catalog", 13,
        [](const Message&) { return Reaction{}; }, record);
  }
  for (int i = 0; i < kServers; ++i) {
    installation.StartSide(kEntries + i, "docs");
  }
  Servers servers(installation, record_path, record);
  if (!installation.Configure(kConfiguration, record)) return 2;
  for (int i = 0; i < kEntries; ++i) {
    if (!installation.WaitUntilServed(i, kHost, "/pages/") ||
        !installation.WaitUntilServed(i, kHost, "/drawings/warm")) {
      return 2;
    }
  }
  std::this_thread::sleep_for(milliseconds(4000));
  std::atomic<bool> stopping{false};
  std::atomic<int> whole{0};
  std::atomic<int> refused{0};
  std::vector<std::thread> readers;
  for (int i = 0; downloads && i < kEntries * kReadersOfEntry; ++i) {
    readers.emplace_back([&, i] {
      ReadDrawings(installation.Side(i % kEntries),
                   "drawing-" + std::to_string(i), stopping, whole, refused);
    });
  }
  std::this_thread::sleep_for(milliseconds(2000));
  const auto end = Clock::now() + kLength;
  auto next_poison = Clock::now();
  for (int number = 0; Clock::now() < end;) {
    servers.Tend();
    std::this_thread::sleep_for(milliseconds(20));
    if (!trouble || Clock::now() < next_poison) continue;
    next_poison += kPauseOfPoison;
    const std::string id = "deposit-" + std::to_string(number);
    const Message answer = Call(
        installation.Side(number++ % kEntries), kOutboundPort,
        "POST /deposits/7 HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: " + id +
            "\r\nTimeout-Ms: 3000\r\nContent-Length: 6\r\n\r\n" + kPoison,
        milliseconds(3200));
    record.Line("poison sent as " + id + ", answered " +
                std::to_string(answer.Status()));
  }
  stopping = true;
  for (std::thread& reader : readers) reader.join();
  const std::vector<int64_t> crashes = CrashesIn(record_path);
  int retries = 0;
  for (const int64_t at : crashes) {
    if (crashes.size() >= kFirstCrashes &&
        at > crashes[kFirstCrashes - 1] + kStableWindow.count()) {
      ++retries;
    }
  }
  const std::string result =
      std::to_string(crashes.size()) + " crashes by one request; " +
      std::to_string(retries) +
      " of its retries reached a server later than 3 s after the third; " +
      std::to_string(whole.load()) + " whole drawings, " +
      std::to_string(refused.load()) + " not served";
  record.Line(result);
  std::cout << result << "\n";
  return retries > kAllowedRetries ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc == 7) {
    return review::RunServer(argv[2], argv[3], argv[4], argv[5],
                             std::strtoll(argv[6], nullptr, 10));
  }
  if (argc != 5) return 2;
  const char* downloads = std::getenv("DOWNLOADS");
  return review::Run(argv[1], argv[2], argv[3], std::string(argv[4]) != "0",
                     downloads == nullptr || std::string(downloads) != "0");
}
