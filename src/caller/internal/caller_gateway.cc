#include "caller/caller_gateway.h"

#include <arpa/inet.h>
#include <microhttpd.h>

#include <array>
#include <atomic>
#include <memory>
#include <optional>
#include <utility>

#include "caller/caller_result_codes.h"
#include "caller/internal/departure_watch.h"
#include "caller/internal/response_stream.h"
#include "calls/field_values.h"

namespace hibiscusglade {
namespace {

constexpr std::array<const char*, 6> kMethods = {"GET", "HEAD",  "POST",
                                                 "PUT", "PATCH", "DELETE"};
/// Fields about one connection only; they are not passed on.
constexpr std::array<const char*, 8> kHopFields = {
    "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
    "TE",         "Trailer",    "Transfer-Encoding",  "Upgrade"};
constexpr size_t kResponseBlockBytes = 32 * 1024;
constexpr size_t kConnectionMemoryBytes = 64 * 1024;

bool IsHopField(const std::string& name) {
  for (const char* field : kHopFields) {
    if (SameField(name, field)) return true;
  }
  return false;
}

/// Passes the answer from the request thread to the response buffer.
class BufferedStream : public CallerStream {
 public:
  explicit BufferedStream(std::shared_ptr<ResponseBuffer> buffer)
      : buffer_(std::move(buffer)) {}

  void OnHead(const AnswerHead& head) override { buffer_->PutHead(head); }
  void OnData(std::string data) override { buffer_->PutData(std::move(data)); }
  void OnEnd() override { buffer_->PutEnd(); }
  void OnBroken(const Refusal&) override { buffer_->PutBroken(); }
  void OnRefused(const Refusal& refusal) override {
    buffer_->PutRefusal(refusal);
  }

 private:
  std::shared_ptr<ResponseBuffer> buffer_;
};

/// One HTTP request in the server's hands.
struct Exchange {
  CallRequest request;
  std::shared_ptr<ResponseBuffer> buffer;
  CallHandle call = 0;
  bool begun = false;
  bool answered = false;
  bool completed = false;
  bool too_large = false;
  bool field_invalid = false;
  CallHandler* handler = nullptr;
  const CallerDialect* dialect = nullptr;
  int descriptor = -1;  ///< Of the connection while its caller is watched.
};

MHD_Result CollectField(void* cls, MHD_ValueKind, const char* name,
                        const char* value) {
  auto* exchange = static_cast<Exchange*>(cls);
  CallRequest& request = exchange->request;
  const std::string text = value == nullptr ? "" : value;
  const std::string field = name;
  if (SameField(field, "Host")) request.host = text;
  if (IsHopField(field) || SameField(field, "Content-Length") ||
      SameField(field, "Host") || SameField(field, "Expect")) {
    return MHD_YES;
  }
  exchange->field_invalid |=
      !exchange->dialect->TakeField({field, text}, request);
  return MHD_YES;
}

ssize_t ReadBody(void* cls, uint64_t, char* out, size_t most) {
  auto* exchange = static_cast<Exchange*>(cls);
  const ssize_t taken = exchange->buffer->TakeData(out, most);
  if (taken > 0) {
    exchange->handler->Consumed(exchange->call, static_cast<uint64_t>(taken));
  }
  return taken;
}

class Gateway : public CallerGateway {
 public:
  Gateway(const CallerGatewayConfig& config, CallHandler& handler,
          Metrics& metrics)
      : config_(config), handler_(handler), metrics_(metrics) {}

  ~Gateway() override {
    if (daemon_ != nullptr) MHD_stop_daemon(daemon_);
  }

  std::error_code Start() override {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(config_.port);
    if (inet_pton(AF_INET, config_.address.c_str(), &address.sin_addr) != 1) {
      return CallerCode::kListenFailed;
    }
    daemon_ = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
        config_.port, nullptr, nullptr, &Gateway::OnRequest, this,
        MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
        &Gateway::OnCompleted, this, MHD_OPTION_URI_LOG_CALLBACK,
        &Gateway::OnUri, this, MHD_OPTION_THREAD_POOL_SIZE, config_.threads,
        MHD_OPTION_CONNECTION_LIMIT, config_.max_connections,
        MHD_OPTION_CONNECTION_TIMEOUT, config_.idle_timeout_s,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemoryBytes,
        MHD_OPTION_END);
    if (daemon_ == nullptr) return CallerCode::kListenFailed;
    return {};
  }

  void CloseAfterAnswers() override { closing_ = true; }

  void Quiesce() override {
    if (daemon_ == nullptr) return;
    const MHD_socket listener = MHD_quiesce_daemon(daemon_);
    if (listener != MHD_INVALID_SOCKET) close(listener);
  }

 private:
  static void* OnUri(void*, const char* uri, MHD_Connection*) {
    // The server gives the path without its query later on.
    auto exchange = std::make_unique<Exchange>();
    exchange->request.target = uri;
    return exchange.release();
  }

  static MHD_Result OnRequest(void* cls, MHD_Connection* connection,
                              const char*, const char* method, const char*,
                              const char* upload, size_t* upload_size,
                              void** state) {
    auto* self = static_cast<Gateway*>(cls);
    auto* exchange = static_cast<Exchange*>(*state);
    if (exchange->buffer == nullptr) {
      return self->OnHead(connection, method, *exchange);
    }
    if (*upload_size > 0) {
      self->OnUpload({upload, *upload_size}, *exchange);
      *upload_size = 0;
      return MHD_YES;
    }
    return self->OnWhole(connection, *exchange);
  }

  MHD_Result OnHead(MHD_Connection* connection, const char* method,
                    Exchange& exchange) {
    exchange.buffer = std::make_shared<ResponseBuffer>(connection);
    exchange.handler = &handler_;
    exchange.dialect = &config_.dialect;
    exchange.request.method = method;
    exchange.request.origin_service = config_.origin_service;
    exchange.request.caller = AddressOf(connection);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &CollectField,
                              &exchange);
    if (exchange.request.request_id.empty()) {
      exchange.request.request_id = "r" + std::to_string(++last_request_);
    }
    return MHD_YES;
  }

  void OnUpload(std::string_view bytes, Exchange& exchange) const {
    std::string& body = exchange.request.body;
    if (body.size() + bytes.size() > config_.max_body_bytes) {
      exchange.too_large = true;
      body.clear();
    }
    if (!exchange.too_large) body.append(bytes);
  }

  MHD_Result OnWhole(MHD_Connection* connection, Exchange& exchange) {
    if (!exchange.begun) {
      exchange.begun = true;
      if (auto code = Check(exchange)) {
        exchange.buffer->PutRefusal(
            {*code, Certainty::kNotRun, code->message(), {}});
      } else {
        exchange.call =
            handler_.Begin(exchange.request,
                           std::make_unique<BufferedStream>(exchange.buffer));
        WatchCaller(connection, exchange);
      }
    }
    if (exchange.answered || !exchange.buffer->SuspendUntilHead()) {
      return MHD_YES;
    }
    exchange.answered = true;
    if (auto refusal = exchange.buffer->Refused()) {
      return SendRefusal(connection, exchange, *refusal);
    }
    return SendAnswer(connection, exchange);
  }

  static std::optional<std::error_code> Check(const Exchange& exchange) {
    if (exchange.too_large) return make_error_code(CallerCode::kBodyTooLarge);
    if (exchange.field_invalid) {
      return make_error_code(CallerCode::kHeaderInvalid);
    }
    for (const char* method : kMethods) {
      if (exchange.request.method == method) return std::nullopt;
    }
    return make_error_code(CallerCode::kMethodUnknown);
  }

  void WatchCaller(MHD_Connection* connection, Exchange& exchange) {
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info == nullptr) return;
    exchange.descriptor = info->connect_fd;
    departures_.Add(exchange.descriptor,
                    [this, call = exchange.call, buffer = exchange.buffer] {
                      handler_.Cancel(call);
                      // Wakes the connection, so that the server closes it.
                      buffer->PutGone();
                    });
  }

  MHD_Result SendRefusal(MHD_Connection* connection, const Exchange& exchange,
                         const Refusal& refusal) {
    const CallerNotice notice =
        config_.dialect.NoticeOf(exchange.request, refusal);
    std::string body = notice.body;
    MHD_Response* response = MHD_create_response_from_buffer(
        body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
    for (const HeaderField& field : notice.headers) {
      MHD_add_response_header(response, field.name.c_str(),
                              field.value.c_str());
    }
    AddClose(response);
    metrics_
        .CounterOf("caller_refusals_total",
                   "code=\"" + std::to_string(refusal.code.value()) + "\"")
        .Add();
    const MHD_Result queued = MHD_queue_response(
        connection, static_cast<unsigned>(notice.status), response);
    MHD_destroy_response(response);
    return queued;
  }

  /// While the daemon stops, callers are told to go elsewhere next time.
  void AddClose(MHD_Response* response) const {
    if (!closing_) return;
    MHD_add_response_header(response, "Connection", "close");
  }

  MHD_Result SendAnswer(MHD_Connection* connection, Exchange& exchange) {
    const AnswerHead head = *exchange.buffer->Head();
    const uint64_t size = head.content_length < 0
                              ? MHD_SIZE_UNKNOWN
                              : static_cast<uint64_t>(head.content_length);
    MHD_Response* response = MHD_create_response_from_callback(
        size, kResponseBlockBytes, &ReadBody, &exchange, nullptr);
    for (const HeaderField& field : head.headers) {
      if (IsHopField(field.name) || SameField(field.name, "Content-Length")) {
        continue;
      }
      MHD_add_response_header(response, field.name.c_str(),
                              field.value.c_str());
    }
    for (const HeaderField& field :
         config_.dialect.AnswerFields(exchange.request)) {
      MHD_add_response_header(response, field.name.c_str(),
                              field.value.c_str());
    }
    AddClose(response);
    const MHD_Result queued = MHD_queue_response(
        connection, static_cast<unsigned>(head.status), response);
    MHD_destroy_response(response);
    return queued;
  }

  static void OnCompleted(void* cls, MHD_Connection*, void** state,
                          MHD_RequestTerminationCode reason) {
    std::unique_ptr<Exchange> exchange(static_cast<Exchange*>(*state));
    *state = nullptr;
    if (exchange == nullptr || exchange->buffer == nullptr) return;
    auto* self = static_cast<Gateway*>(cls);
    if (exchange->descriptor >= 0) {
      self->departures_.Forget(exchange->descriptor);
    }
    exchange->buffer->Detach();
    if (reason != MHD_REQUEST_TERMINATED_COMPLETED_OK && exchange->call != 0) {
      self->handler_.Cancel(exchange->call);
    }
  }

  static std::string AddressOf(MHD_Connection* connection) {
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (info == nullptr || info->client_addr->sa_family != AF_INET) return "";
    char text[INET_ADDRSTRLEN] = "";
    const auto* address =
        reinterpret_cast<const sockaddr_in*>(info->client_addr);
    inet_ntop(AF_INET, &address->sin_addr, text, sizeof(text));
    return text;
  }

  CallerGatewayConfig config_;
  CallHandler& handler_;
  Metrics& metrics_;
  DepartureWatch departures_;
  MHD_Daemon* daemon_ = nullptr;
  std::atomic<uint64_t> last_request_{0};
  std::atomic<bool> closing_{false};
};

}  // namespace

std::unique_ptr<CallerGateway> MakeCallerGateway(
    const CallerGatewayConfig& config, CallHandler& handler, Metrics& metrics) {
  return std::make_unique<Gateway>(config, handler, metrics);
}

}  // namespace hibiscusglade
