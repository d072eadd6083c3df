// A small upstream for tests and measurements: announces itself and answers
// every path after a given time with a body that the caller can predict. A
// request with "crash-marker" in its body ends the process.
//   ?ms=N  service time   ?bytes=N  length of the body
//   /standin/runs   runs per request     /standin/keys  runs per key
//   /standin/state  requests that waited for a slot, most slots in use at the
//                   same time, requests cancelled by the caller
//   /standin/load   a load report that is always good, also when slowed down
//   /standin/set?NAME=VALUE  changes a field of StandinSettings
#include <arpa/inet.h>
#include <curl/curl.h>
#include <gflags/gflags.h>
#include <microhttpd.h>
#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "base/stop_signal.h"
#include "tests/tools/standin_behavior.h"

DEFINE_string(service, "", "service that the upstream runs");
DEFINE_string(software_version, "", "version that the upstream announces");
DEFINE_string(instance, "", "name of the instance, for the process list");
DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "port to listen on");
DEFINE_string(daemon, "",
              "address of the daemon's announcements' API, ip:port");
DEFINE_int32(slots, 6, "slots: requests run at the same time");
DEFINE_int32(service_ms, 2, "service time of a request without ?ms=N, in ms");
DEFINE_int32(drain_ms, 1500,
             "time from announcing the drain to the exit, in ms");
DEFINE_int32(cold_ms, 0, "period after the start with cold_factor, in ms");
DEFINE_int32(cold_factor, 1, "factor on service times during cold_ms");
DEFINE_int32(straggler_every, 0, "every n-th request is a straggler; 0: none");
DEFINE_int32(straggler_factor, 1, "how many times longer a straggler runs");
DEFINE_string(echo_field, "", "header field of requests that answers repeat");
DEFINE_string(receipt_field, "", "header field added to answers");
DEFINE_int32(max_connections, 130, "connections accepted at the same time");

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kAnnouncementIntervalMs = 1000;
constexpr int kCrashExitStatus = 9;
constexpr size_t kBlockBytes = 64 * 1024;
/// Connections beyond max_connections, so that tests can reach /standin/
/// paths while all others are in use.
constexpr int kSpareConnections = 20;

/// Announces the upstream to the daemon beside it.
/// @param state "serving" or "draining".
void Announce(const std::string& state) {
  CURL* easy = curl_easy_init();
  const std::string url = "http://" + FLAGS_daemon + "/v1/announcement";
  const std::string body =
      "{\"service\":\"" + FLAGS_service + "\",\"address\":\"" + FLAGS_address +
      "\",\"port\":" + std::to_string(FLAGS_port) +
      ",\"slots\":" + std::to_string(FLAGS_slots) +
      ",\"connections\":" + std::to_string(FLAGS_max_connections) +
      (FLAGS_software_version.empty()
           ? ""
           : ",\"version\":\"" + FLAGS_software_version + "\"") +
      ",\"state\":\"" + state + "\"}";
  curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 1000L);
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
  curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.c_str());
  curl_easy_setopt(
      easy, CURLOPT_WRITEFUNCTION,
      +[](char*, size_t size, size_t count, void*) { return size * count; });
  curl_easy_perform(easy);
  curl_easy_cleanup(easy);
}

/// A request while its body is being received.
struct PartialRequest {
  std::string body;
};

/// An answer while it is being sent; holds its slot until then.
struct Transfer {
  StandinBody body;
  uint64_t offset;
  StandinSlots& slots;
};

class Standin {
 public:
  Standin() : slots_(FLAGS_slots), started_at_(steady_clock::now()) {
    settings_.service_ms = FLAGS_service_ms;
    settings_.cold_ms = FLAGS_cold_ms;
    settings_.cold_factor = FLAGS_cold_factor;
    settings_.straggler_every = FLAGS_straggler_every;
    settings_.straggler_factor = FLAGS_straggler_factor;
  }

  MHD_Daemon* Start() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(FLAGS_port));
    inet_pton(AF_INET, FLAGS_address.c_str(), &address.sin_addr);
    return MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_USE_POLL,
        static_cast<uint16_t>(FLAGS_port), nullptr, nullptr,
        &Standin::OnRequest, this, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_NOTIFY_COMPLETED, &Standin::OnCompleted, nullptr,
        MHD_OPTION_CONNECTION_LIMIT,
        static_cast<unsigned>(FLAGS_max_connections + kSpareConnections),
        MHD_OPTION_END);
  }

 private:
  static MHD_Result OnRequest(void* cls, MHD_Connection* connection,
                              const char* path, const char* method, const char*,
                              const char* upload, size_t* upload_size,
                              void** state) {
    if (*state == nullptr) {
      *state = new PartialRequest;
      return MHD_YES;
    }
    auto* request = static_cast<PartialRequest*>(*state);
    if (*upload_size > 0) {
      request->body.append(upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
    auto* self = static_cast<Standin*>(cls);
    if (std::string(path).starts_with("/standin/")) {
      return self->ServeControlPath(connection, path + sizeof("/standin/") - 1);
    }
    return self->Serve(connection, method, path, request->body);
  }

  static void OnCompleted(void*, MHD_Connection*, void** state,
                          MHD_RequestTerminationCode) {
    delete static_cast<PartialRequest*>(*state);
    *state = nullptr;
  }

  MHD_Result Serve(MHD_Connection* connection, const std::string& method,
                   const std::string& path, const std::string& body) {
    if (body.find("crash-marker") != std::string::npos) _exit(kCrashExitStatus);
    slots_.Acquire();
    const uint64_t number =
        runs_.Add(method + " " + path + " " + body,
                  HeaderField(connection, "Idempotency-Key"));
    const StandinSettings settings = Settings();
    const auto uptime = std::chrono::duration_cast<milliseconds>(
        steady_clock::now() - started_at_);
    const auto service_time = settings.ServiceTime(
        number, QueryParameter(connection, "ms", settings.service_ms), uptime);
    if (CallerClosedWithin(connection, service_time)) {
      ++cancelled_;
      slots_.Release();
      return MHD_NO;
    }
    StandinBody answer(
        FLAGS_service + " answers " + method + " " + path + "\n",
        static_cast<uint64_t>(QueryParameter(connection, "bytes", 0)));
    return SendBody(connection, std::move(answer));
  }

  MHD_Result SendBody(MHD_Connection* connection, StandinBody body) {
    const uint64_t size = body.Size();
    const uint64_t first = RangeStart(connection, size);
    auto transfer =
        std::make_unique<Transfer>(Transfer{std::move(body), first, slots_});
    MHD_Response* response = MHD_create_response_from_callback(
        size - first, kBlockBytes, &Standin::ReadBody, transfer.release(),
        &Standin::FreeTransfer);
    MHD_add_response_header(response, "Content-Type", "text/plain");
    MHD_add_response_header(response, "Accept-Ranges", "bytes");
    if (!FLAGS_echo_field.empty()) {
      MHD_add_response_header(
          response, FLAGS_echo_field.c_str(),
          HeaderField(connection, FLAGS_echo_field.c_str()).c_str());
    }
    if (!FLAGS_receipt_field.empty()) {
      MHD_add_response_header(response, FLAGS_receipt_field.c_str(), "standin");
    }
    unsigned status = MHD_HTTP_OK;
    if (first > 0) {
      status = MHD_HTTP_PARTIAL_CONTENT;
      const std::string range = "bytes " + std::to_string(first) + "-" +
                                std::to_string(size - 1) + "/" +
                                std::to_string(size);
      MHD_add_response_header(response, "Content-Range", range.c_str());
    }
    const MHD_Result queued = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return queued;
  }

  static ssize_t ReadBody(void* cls, uint64_t, char* out, size_t max_bytes) {
    auto* transfer = static_cast<Transfer*>(cls);
    const size_t count = transfer->body.Read(transfer->offset, out, max_bytes);
    transfer->offset += count;
    return count == 0 ? MHD_CONTENT_READER_END_OF_STREAM
                      : static_cast<ssize_t>(count);
  }

  static void FreeTransfer(void* cls) {
    std::unique_ptr<Transfer> transfer(static_cast<Transfer*>(cls));
    transfer->slots.Release();
  }

  /// Waits for the service time, or until the caller closes its connection.
  /// @return whether the caller closed it.
  static bool CallerClosedWithin(MHD_Connection* connection,
                                 milliseconds service_time) {
    const auto* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    pollfd closed{info->connect_fd, POLLRDHUP, 0};
    return poll(&closed, 1, static_cast<int>(service_time.count())) > 0;
  }

  MHD_Result ServeControlPath(MHD_Connection* connection,
                              const std::string& command) {
    std::string text;
    if (command == "runs") text = runs_.ByRequest();
    if (command == "keys") text = runs_.ByKey();
    if (command == "load") text = "{\"state\":\"good\",\"running\":0}\n";
    if (command == "state") {
      text = "waited " + std::to_string(slots_.WaitCount()) +
             "\nmost_at_once " + std::to_string(slots_.MaxInUse()) +
             "\ncancelled " + std::to_string(cancelled_.load()) + "\n";
    }
    if (command == "set") {
      MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND,
                                &Standin::ApplySetting, this);
    }
    MHD_Response* response = MHD_create_response_from_buffer(
        text.size(), text.data(), MHD_RESPMEM_MUST_COPY);
    const MHD_Result queued =
        MHD_queue_response(connection, MHD_HTTP_OK, response);
    MHD_destroy_response(response);
    return queued;
  }

  static MHD_Result ApplySetting(void* cls, MHD_ValueKind, const char* name,
                                 const char* value) {
    auto* self = static_cast<Standin*>(cls);
    std::lock_guard<std::mutex> lock(self->mutex_);
    self->settings_.Set(name, value == nullptr ? 0 : std::atoi(value));
    return MHD_YES;
  }

  StandinSettings Settings() {
    std::lock_guard<std::mutex> lock(mutex_);
    return settings_;
  }

  static std::string HeaderField(MHD_Connection* connection, const char* name) {
    const char* value =
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
    return value == nullptr ? "" : value;
  }

  static int QueryParameter(MHD_Connection* connection, const char* name,
                            int fallback) {
    const char* value =
        MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
    return value == nullptr ? fallback : std::atoi(value);
  }

  /// @return N of a header "Range: bytes=N-"; 0 without one or when the body is
  /// not longer than N.
  static uint64_t RangeStart(MHD_Connection* connection, uint64_t size) {
    const std::string range = HeaderField(connection, "Range");
    const std::string unit = "bytes=";
    if (!range.starts_with(unit)) return 0;
    const uint64_t first =
        std::strtoull(range.c_str() + unit.size(), nullptr, 10);
    return first < size ? first : 0;
  }

  StandinSlots slots_;
  StandinRuns runs_;
  std::mutex mutex_;
  StandinSettings settings_;
  steady_clock::time_point started_at_;
  std::atomic<uint64_t> cancelled_{0};
};

int Run() {
  BlockStopSignals();
  curl_global_init(CURL_GLOBAL_DEFAULT);
  Standin standin;
  MHD_Daemon* server = standin.Start();
  if (server == nullptr) return 1;
  do {
    Announce("serving");
  } while (!WaitForStopSignal(kAnnouncementIntervalMs));
  Announce("draining");
  std::this_thread::sleep_for(milliseconds(FLAGS_drain_ms));
  return 0;
}

}  // namespace
}  // namespace hibiscusglade

int main(int argc, char** argv) {
  gflags::SetUsageMessage("a stand-in upstream for tests and measurements");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hibiscusglade::Run();
}
