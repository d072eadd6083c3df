// A small upstream for tests and measurements: announces itself, answers
// every path after a given time with a body that the caller can predict.
#include <curl/curl.h>
#include <gflags/gflags.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "http/simple_http_server.h"
#include "platform/stop_signal.h"

DEFINE_string(service, "", "service that the upstream runs");
DEFINE_string(instance, "", "name put into answers");
DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "port to listen on");
DEFINE_string(daemon, "", "announcements' address of the daemon, ip:port");
DEFINE_int32(slots, 6, "requests run at once");
DEFINE_int32(service_ms, 2, "time of a request in ms");
DEFINE_int32(drain_ms, 1500, "time from the drain to the exit in ms");

namespace hibiscusglade {
namespace {

constexpr int kRenewMs = 1000;
constexpr int kCrashStatus = 9;

/// Sends the announcement, with the state, to the daemon beside it.
void Announce(const std::string& state) {
  CURL* easy = curl_easy_init();
  const std::string url = "http://" + FLAGS_daemon + "/v1/announcement";
  const std::string body = "{\"service\":\"" + FLAGS_service +
                           "\",\"address\":\"" + FLAGS_address +
                           "\",\"port\":" + std::to_string(FLAGS_port) +
                           ",\"slots\":" + std::to_string(FLAGS_slots) +
                           ",\"state\":\"" + state + "\"}";
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 1000L);
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
  curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.c_str());
  curl_easy_setopt(
      easy, CURLOPT_WRITEFUNCTION,
      +[](char*, size_t size, size_t count, void*) { return size * count; });
  curl_easy_perform(easy);
  curl_easy_cleanup(easy);
}

class Upstream {
 public:
  HttpResponse Answer(const HttpRequest& request) {
    if (request.path == "/standin/runs") return Runs();
    if (request.body.find("crash-marker") != std::string::npos) {
      _exit(kCrashStatus);
    }
    {
      std::lock_guard<std::mutex> lock(mutex_);
      ++runs_[request.method + " " + request.path + " " + request.body];
    }
    std::this_thread::sleep_for(
        std::chrono::milliseconds(Option(request, "ms", FLAGS_service_ms)));
    std::string body = FLAGS_service + " answers " + request.method + " " +
                       request.path + "\n";
    const int bytes = Option(request, "bytes", 0);
    for (int i = 0; static_cast<int>(body.size()) < bytes; ++i) {
      body += std::to_string(i) + " " + request.path + "\n";
    }
    return {200, "text/plain", body};
  }

 private:
  static int Option(const HttpRequest& request, const std::string& name,
                    int fallback) {
    auto found = request.query.find(name);
    return found == request.query.end() ? fallback : std::stoi(found->second);
  }

  HttpResponse Runs() {
    std::lock_guard<std::mutex> lock(mutex_);
    std::string body;
    for (const auto& [request, count] : runs_) {
      body += std::to_string(count) + " " + request + "\n";
    }
    return {200, "text/plain", body};
  }

  std::mutex mutex_;
  std::map<std::string, int> runs_;
};

int Run() {
  BlockStopSignals();
  curl_global_init(CURL_GLOBAL_DEFAULT);
  Upstream upstream;
  std::error_code error;
  auto server = StartSimpleHttpServer(
      FLAGS_address, static_cast<uint16_t>(FLAGS_port),
      [&](const HttpRequest& request) { return upstream.Answer(request); },
      error);
  if (error) return 1;
  do {
    Announce("serving");
  } while (!WaitForStopSignal(kRenewMs));
  Announce("draining");
  std::this_thread::sleep_for(std::chrono::milliseconds(FLAGS_drain_ms));
  return 0;
}

}  // namespace
}  // namespace hibiscusglade

int main(int argc, char** argv) {
  gflags::SetUsageMessage("a stand-in upstream for tests and measurements");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hibiscusglade::Run();
}
