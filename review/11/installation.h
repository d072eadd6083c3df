#ifndef HIBISCUSGLADE_REVIEW_11_INSTALLATION_H_
#define HIBISCUSGLADE_REVIEW_11_INSTALLATION_H_

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/types.h>
#include <sys/wait.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>
#include <vector>

#include "net.h"

namespace review {

// The same ports on all machines, as the platform's pages say.
inline constexpr int kAppPort = 8301;
inline constexpr int kReadyPort = 8302;
inline constexpr int kOutboundPort = 8304;
inline constexpr int kControlPort = 8306;
inline constexpr int kInternalPort = 7620;
inline constexpr int kLastInternalPort = 7635;

/// What was sent, answered and run; one line each. Several processes may add
/// lines to one file.
class Record {
 public:
  Record(const std::string& path, Clock::time_point began)
      : file_(open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                   0644)),
        began_(began) {}
  /// Begins a new file.
  explicit Record(const std::string& path) : Record(path, Clock::now()) {
    if (ftruncate(file_.Fd(), 0) != 0) file_.Close();
  }

  void Line(const std::string& text) const {
    const auto at =
        std::chrono::duration_cast<milliseconds>(Clock::now() - began_);
    const std::string line = std::to_string(at.count()) + " ms  " + text + "\n";
    [[maybe_unused]] const ssize_t written =
        write(file_.Fd(), line.data(), line.size());
  }

  Clock::time_point Began() const { return began_; }

 private:
  Socket file_;
  Clock::time_point began_;
};

/// What a server does with a request.
struct Reaction {
  milliseconds work{5};
  int status = 200;
  std::string body = "done\n";
  /// Bytes of the body that are sent before the server breaks off; all if
  /// negative.
  int64_t sent = -1;
  /// Pause between the last byte of a broken answer and its end.
  milliseconds before_end{0};
  /// Whether the connection is reset after the work, without an answer.
  bool lost = false;
};

/// An application server as the platform's pages describe it: it checks in
/// with the daemon of its machine, and serves one request at a time on each
/// connection.
class Server {
 public:
  using Handler = std::function<Reaction(const Message&)>;

  Server(std::string ip, std::string zone, std::string service, int slots,
         Handler handler, Record& record, const std::string& id_end = "")
      : ip_(std::move(ip)),
        zone_(std::move(zone)),
        service_(std::move(service)),
        slots_(slots),
        handler_(std::move(handler)),
        record_(record),
        id_("i-" + service_ + "-" + ip_.substr(ip_.rfind('.') + 1) + id_end),
        born_(std::chrono::duration_cast<milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count()),
        listener_(ListenOn(ip_, kAppPort)) {
    threads_.emplace_back([this] { Accept(); });
    threads_.emplace_back([this] { CheckIn(); });
  }

  ~Server() {
    stopping_ = true;
    shutdown(listener_.Fd(), SHUT_RDWR);
    for (std::thread& thread : threads_) thread.join();
    const std::lock_guard<std::mutex> lock(mutex_);
    for (std::thread& thread : connections_) thread.join();
  }
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  bool Ok() const { return listener_.Ok(); }

  /// Tells that it drains, until that is acknowledged.
  /// @return whether it was, in ten check-ins.
  bool Drain() {
    draining_ = true;
    for (int i = 0; i < 10; ++i) {
      if (!Tell()) continue;
      record_.Line("the leave of server " + id_ + " is acknowledged");
      return true;
    }
    return false;
  }

  /// @return how often the server began to run a request.
  int RunsOf(const std::string& attempt) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = runs_.find(attempt);
    return found == runs_.end() ? 0 : found->second;
  }

 private:
  void Accept() {
    while (!stopping_) {
      const int fd = accept4(listener_.Fd(), nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const std::lock_guard<std::mutex> lock(mutex_);
      connections_.emplace_back([this, fd] { Serve(Socket(fd)); });
    }
  }

  void Serve(Socket connection) {
    Reader reader(connection);
    Message request;
    while (!stopping_) {
      if (!reader.Read(request, Clock::now() + milliseconds(200))) {
        if (reader.Ended()) return;
        continue;
      }
      if (!Answer(connection, request)) return;
    }
  }

  /// @return whether the connection may be used on.
  bool Answer(Socket& connection, const Message& request) {
    const std::string attempt = request.Field("Attempt-Id");
    const std::string expected = request.Field("Expected-Instance");
    if (!expected.empty() && expected != id_) {
      return SendAll(connection, "HTTP/1.1 421 Misdirected\r\nAttempt-Id: " +
                                     attempt + "\r\nContent-Length: 0\r\n\r\n");
    }
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++runs_[attempt];
    }
    record_.Line("server " + id_ + " runs " + attempt + " (" +
                 request.first_line + ")");
    const Reaction reaction = handler_(request);
    std::this_thread::sleep_for(reaction.work);
    if (reaction.lost) {
      record_.Line("server " + id_ + " loses its answer to " + attempt);
      connection.Reset();
      return false;
    }
    const std::string head =
        "HTTP/1.1 " + std::to_string(reaction.status) +
        " OK\r\nAttempt-Id: " + attempt +
        "\r\nResponse-Signature: 1a.2b.3c\r\nContent-Length: " +
        std::to_string(reaction.body.size()) + "\r\n\r\n";
    if (reaction.sent < 0) return SendAll(connection, head + reaction.body);
    const auto part = static_cast<size_t>(reaction.sent);
    SendAll(connection, head + reaction.body.substr(0, part));
    std::this_thread::sleep_for(reaction.before_end);
    record_.Line("server " + id_ + " breaks off its answer to " + attempt);
    connection.Close();
    return false;
  }

  void CheckIn() {
    while (!stopping_) {
      Tell();
      for (int i = 0; i < 15 && !stopping_; ++i) {
        std::this_thread::sleep_for(milliseconds(100));
      }
    }
  }

  /// @return whether the daemon acknowledged the check-in.
  bool Tell() {
    const std::lock_guard<std::mutex> lock(telling_);
    const std::string body =
        "{\"service\":\"" + service_ + "\",\"address\":\"" + ip_ + ":" +
        std::to_string(kAppPort) + "\",\"zone\":\"" + zone_ +
        "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots_) +
        ",\"state\":\"" + (draining_ ? "draining" : "ready") +
        "\",\"cold_remaining_ms\":0,\"sequence\":" +
        std::to_string(++sequence_) + ",\"born\":" + std::to_string(born_) +
        "}";
    const Message answer =
        Call(ip_, kControlPort,
             "POST /-/instances/" + id_ +
                 "/heartbeat HTTP/1.1\r\nHost: control\r\nContent-Type: "
                 "application/json\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\n\r\n" + body,
             milliseconds(1000));
    return answer.Status() == 200;
  }

  const std::string ip_;
  const std::string zone_;
  const std::string service_;
  const int slots_;
  const Handler handler_;
  Record& record_;
  const std::string id_;
  const int64_t born_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> draining_{false};
  std::mutex telling_;
  uint64_t sequence_ = 0;
  std::mutex mutex_;
  std::map<std::string, int> runs_;  ///< By Attempt-Id.
  std::list<std::thread> connections_;
  Socket listener_;
  std::vector<std::thread> threads_;
};

/// The daemons of a small installation: three core machines and one machine
/// for each server, each with a loopback address of its own. Started with the
/// command of the deploy file, with the settings that its template gives.
class Installation {
 public:
  Installation(std::string program, std::string folder,
               std::string link_mbps = "1000.0")
      : program_(std::move(program)),
        folder_(std::move(folder)),
        link_mbps_(std::move(link_mbps)) {
    const auto salt = static_cast<unsigned>(getpid());
    for (unsigned i = 0; i < 200; ++i) {
      const unsigned number = salt + i * 7919;
      prefix_ = "127." + std::to_string(20 + number % 200) + "." +
                std::to_string(number / 200 % 250) + ".";
      const Socket free_port = ListenOn(Core(0), kControlPort);
      if (free_port.Ok()) return;
    }
  }

  ~Installation() {
    for (const auto& [ip, pid] : processes_) kill(pid, SIGKILL);
    for (const auto& [ip, pid] : processes_) waitpid(pid, nullptr, 0);
  }
  Installation(const Installation&) = delete;
  Installation& operator=(const Installation&) = delete;

  std::string Core(int number) const {
    return prefix_ + std::to_string(10 + number);
  }
  std::string Side(int number) const {
    return prefix_ + std::to_string(100 + number);
  }
  static std::string Zone(int number) {
    return std::string("zone-") + static_cast<char>('a' + number % 3);
  }

  void StartCore() {
    for (int i = 0; i < 3; ++i) {
      Start(Core(i), Zone(i),
            "  \"operators\": {\"host_port\": \"" + Core(i) + ":" +
                std::to_string(kControlPort) +
                "\"},\n"
                "  \"replica\": {\"data_folder\": \"" +
                folder_ + "/data-" + std::to_string(i) +
                "\", \"founds_mesh\": true, \"claims\": false, "
                "\"tolerated_losses\": 1},\n");
    }
  }

  void StartSide(int number, const std::string& service) {
    const std::string ip = Side(number);
    const auto at = [&ip](int port) {
      return "\"" + ip + ":" + std::to_string(port) + "\"";
    };
    Start(ip, Zone(number),
          "  \"callers\": {\"host_port\": " + at(kOutboundPort) +
              ", \"max_connections\": 3000},\n  \"upstream\": "
              "{\"host_port\": " +
              at(kControlPort) + ", \"service\": \"" + service +
              "\", \"upstream_address\": " + at(kAppPort) +
              "},\n  \"readiness\": {\"host_port\": " + at(kReadyPort) +
              "},\n");
  }

  /// Sends a configuration to the core until one machine acknowledges it.
  /// @return whether one did, within 20 s.
  bool Configure(const std::string& configuration, Record& record) const {
    const auto until = Clock::now() + std::chrono::seconds(20);
    for (int i = 0; Clock::now() < until; ++i) {
      const Message answer = Call(
          Core(i % 3), kControlPort,
          "POST /-/config/replace HTTP/1.1\r\nHost: "
          "control\r\nContent-Type: application/json\r\nContent-Length: " +
              std::to_string(configuration.size()) + "\r\n\r\n" + configuration,
          milliseconds(2000));
      if (answer.Status() == 200) {
        record.Line("a configuration is acknowledged: " + configuration);
        return true;
      }
      std::this_thread::sleep_for(milliseconds(200));
    }
    record.Line("a configuration is not acknowledged");
    return false;
  }

  /// @return whether the daemon of a machine says that it is ready, and passes
  /// a request on, within 20 s.
  bool WaitUntilServed(int number, const std::string& host,
                       const std::string& path) const {
    const std::string request =
        "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: warm-" +
        std::to_string(number) + "\r\nTimeout-Ms: 1000\r\n\r\n";
    const auto until = Clock::now() + std::chrono::seconds(20);
    while (Clock::now() < until) {
      const Message ready =
          Call(Side(number), kReadyPort,
               "GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n",
               milliseconds(1000));
      if (ready.Status() == 200) {
        const Message answer =
            Call(Side(number), kOutboundPort, request, milliseconds(2000));
        if (answer.Status() == 200) return true;
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
    return false;
  }

 private:
  void Start(const std::string& ip, const std::string& zone,
             const std::string& role) {
    const std::string path = folder_ + "/" + ip + ".json";
    std::ofstream settings(path);
    settings << "{\n  \"interface\": \"platform\",\n  \"mesh\": "
                "\"hibiscusglade\",\n  \"instance\": \""
             << ip << "\",\n  \"failure_domain\": \"" << zone
             << "\",\n  \"failure_domains\": [\"zone-a\",\"zone-b\","
                "\"zone-c\"],\n  \"region\": \"region-1\",\n  \"peer\": {\n"
                "    \"address\": \""
             << ip << "\",\n    \"control_port\": " << kInternalPort
             << ",\n    \"request_port\": " << kLastInternalPort
             << ",\n    \"seed_hosts\": [\"" << Core(0) << ":" << kControlPort
             << "\",\"" << Core(1) << ":" << kControlPort << "\",\"" << Core(2)
             << ":" << kControlPort << "\"]\n  },\n"
             << role << "  \"link_mbps\": " << link_mbps_
             << ",\n  \"metrics\": {\"address\": \"" << ip
             << "\", \"port\": 9464},\n  \"max_descriptors\": 4100,\n"
                "  \"kill_after_s\": 6,\n  \"stop_notice_ms\": 2500\n}\n";
    settings.close();
    const std::string log = folder_ + "/" + ip + ".log";
    const pid_t pid = fork();
    if (pid == 0) {
      // It ends with this process, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, STDOUT_FILENO);
      dup2(out, STDERR_FILENO);
      setenv("HIBISCUSGLADE_CONFIG", path.c_str(), 1);
      execl(program_.c_str(), program_.c_str(), nullptr);
      _exit(127);
    }
    processes_[ip] = pid;
  }

  const std::string program_;
  const std::string folder_;
  const std::string link_mbps_;
  std::string prefix_;
  std::map<std::string, pid_t> processes_;
};

}  // namespace review

#endif  // HIBISCUSGLADE_REVIEW_11_INSTALLATION_H_
