#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <cstdlib>
#include <mutex>
#include <thread>
#include <utility>

#include "review/fleet.h"
#include "review/net.h"

namespace review {
namespace {

constexpr int kCrashStatus = 134;
constexpr int kQueue = 24;
constexpr size_t kArchiveBytes = 200'000;

class Server {
 public:
  explicit Server(ServerSettings settings)
      : settings_(std::move(settings)), born_(UnixMs()) {}

  [[noreturn]] void Run() {
    const int listener = Listen(settings_.ip, settings_.app_port);
    if (listener < 0) _exit(1);
    std::thread([this] { Announce(); }).detach();
    while (true) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) std::thread([this, fd] { Serve(fd); }).detach();
    }
  }

 private:
  void Announce() {
    constexpr int kAnswerMs = 1000;
    int64_t next = NowMs();
    for (int64_t sequence = 1; access(settings_.leave_flag.c_str(), F_OK) != 0;
         SleepMs(20)) {
      if (NowMs() < next) continue;
      next = NowMs() + settings_.heartbeat_ms;
      check_in_ = CheckIn(sequence++);
      Call(settings_.ip, settings_.control_port, check_in_, kAnswerMs);
    }
    Leave();
  }

  void Leave() {
    constexpr int kAnswerMs = 1000;
    constexpr int64_t kLateMs = 4000;
    constexpr int64_t kServesOnMs = 9500;
    const int status =
        Call(settings_.ip, settings_.control_port,
             JsonCall("POST", "/-/instances/" + settings_.id + "/deregister",
                      "{\"born\":" + std::to_string(born_) + "}"),
             kAnswerMs);
    Record("deregistered " + settings_.id + ": " + std::to_string(status));
    SleepMs(kLateMs);
    const int late =
        Call(settings_.ip, settings_.control_port, check_in_, kAnswerMs);
    Record("a late check-in of " + settings_.id +
           " arrived: " + std::to_string(late));
    SleepMs(kServesOnMs - kLateMs);
    Record("server " + settings_.id + " ends");
    _exit(0);
  }

  std::string CheckIn(int64_t sequence) const {
    return JsonCall(
        "POST", "/-/instances/" + settings_.id + "/heartbeat",
        "{\"service\":\"" + settings_.service + "\",\"address\":\"" +
            settings_.ip + ":" + std::to_string(settings_.app_port) +
            "\",\"zone\":\"" + settings_.zone +
            "\",\"version\":\"v1\",\"slots\":" +
            std::to_string(settings_.slots) +
            ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":" +
            std::to_string(sequence) + ",\"born\":" + std::to_string(born_) +
            "}");
  }

  void Serve(int fd) {
    constexpr int64_t kIdleCloseMs = 10'000;
    std::string rest;
    HttpMessage request;
    while (ReadMessage(fd, rest, NowMs() + kIdleCloseMs, request)) {
      const std::string answer = AnswerTo(request);
      if (BreaksOff(answer)) {
        Record("answer to " + request.Field("attempt-id") + " broken off by " +
               settings_.id);
        SendAll(fd, answer.substr(0, answer.size() / 2));
        break;
      }
      if (!SendAll(fd, answer)) break;
    }
    close(fd);
  }

  std::string AnswerTo(const HttpMessage& request) {
    const std::string id = request.Field("attempt-id");
    if (request.start_line.starts_with("GET /health ")) {
      return "HTTP/1.1 200 OK\r\nInstance-Id: " + settings_.id +
             "\r\nContent-Length: 0\r\n\r\n";
    }
    if (id.empty()) return Rejection("400 Bad Request", id);
    const std::string expected = request.Field("expected-instance");
    if (!expected.empty() && expected != settings_.id) {
      return Rejection("421 Misdirected Request", id);
    }
    const int64_t limit =
        std::strtol(request.Field("timeout-ms").c_str(), nullptr, 10);
    if (!TakeSlot(limit)) return Rejection("503 Service Unavailable", id);
    Record("run " + id + " at " + settings_.id + " for " +
           request.Field("caller-service") + ": " + request.start_line);
    if (request.start_line.find("/crash") != std::string::npos) {
      _exit(kCrashStatus);
    }
    SleepMs(settings_.work_ms);
    FreeSlot();
    std::string body = "done " + id;
    if (request.start_line.find("/archive") != std::string::npos) {
      body.resize(kArchiveBytes, '.');
    }
    return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
           "\r\nResponse-Signature: " + settings_.id + "." + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }

  bool BreaksOff(const std::string& answer) {
    if (settings_.garble_every == 0 || answer.size() < kArchiveBytes ||
        access(settings_.garble_flag.c_str(), F_OK) != 0) {
      return false;
    }
    return ++archives_ % settings_.garble_every == 0;
  }

  static std::string Rejection(const std::string& status,
                               const std::string& id) {
    return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + id +
           "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  }

  /// Waits for a slot; not longer than the request's time limit.
  bool TakeSlot(int64_t limit_ms) {
    std::unique_lock lock(mutex_);
    if (waiting_ >= kQueue) return false;
    ++waiting_;
    const bool free =
        slot_free_.wait_for(lock, std::chrono::milliseconds(limit_ms),
                            [this] { return running_ < settings_.slots; });
    --waiting_;
    if (free) ++running_;
    return free;
  }

  void FreeSlot() {
    const std::lock_guard lock(mutex_);
    --running_;
    slot_free_.notify_one();
  }

  ServerSettings settings_;
  int64_t born_;
  std::string check_in_;  ///< The last one.
  std::mutex mutex_;
  std::condition_variable slot_free_;
  std::atomic<int> archives_ = 0;
  int running_ = 0;
  int waiting_ = 0;
};

}  // namespace

void RunServer(const ServerSettings& settings) { Server(settings).Run(); }

}  // namespace review
