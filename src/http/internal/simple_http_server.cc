#include "http/simple_http_server.h"

#include <microhttpd.h>

#include <exception>
#include <utility>

#include "base/log.h"
#include "base/socket_address.h"
#include "http/http_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr size_t kMaxBodyBytes = 8 << 20;
constexpr unsigned kMaxConnections = 64;
constexpr unsigned kIdleTimeoutSeconds = 30;

struct Exchange {
  HttpRequest request;
  bool begun = false;
  bool too_large = false;
};

MHD_Result CollectQuery(void* cls, MHD_ValueKind, const char* name,
                        const char* value) {
  auto* request = static_cast<HttpRequest*>(cls);
  request->query[name] = value == nullptr ? "" : value;
  return MHD_YES;
}

class Server : public SimpleHttpServer {
 public:
  explicit Server(Handler handler) : handler_(std::move(handler)) {}

  ~Server() override {
    if (daemon_ != nullptr) MHD_stop_daemon(daemon_);
  }

  bool Start(const std::string& ip, uint16_t port, HttpThreads threads) {
    const auto address = SocketAddressOf(ip, port);
    if (!address.has_value()) return false;
    const unsigned mode = threads == HttpThreads::kSingleThread
                              ? MHD_USE_EPOLL_INTERNAL_THREAD
                              : MHD_USE_THREAD_PER_CONNECTION |
                                    MHD_USE_INTERNAL_POLLING_THREAD |
                                    MHD_USE_POLL;
    daemon_ = MHD_start_daemon(
        mode, port, nullptr, nullptr, &Server::OnRequest, this,
        MHD_OPTION_SOCK_ADDR, &*address, MHD_OPTION_NOTIFY_COMPLETED,
        &Server::OnCompleted, nullptr, MHD_OPTION_CONNECTION_LIMIT,
        kMaxConnections, MHD_OPTION_CONNECTION_TIMEOUT, kIdleTimeoutSeconds,
        MHD_OPTION_END);
    return daemon_ != nullptr;
  }

 private:
  static MHD_Result OnRequest(void* cls, MHD_Connection* connection,
                              const char* path, const char* method, const char*,
                              const char* upload, size_t* upload_size,
                              void** state) {
    if (*state == nullptr) {
      auto exchange = std::make_unique<Exchange>();
      exchange->request.method = method;
      exchange->request.path = path;
      MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND,
                                &CollectQuery, &exchange->request);
      *state = exchange.release();
      return MHD_YES;
    }
    auto* exchange = static_cast<Exchange*>(*state);
    if (*upload_size > 0) {
      std::string& body = exchange->request.body;
      exchange->too_large |= body.size() + *upload_size > kMaxBodyBytes;
      if (!exchange->too_large) body.append(upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
    return Answer(connection, static_cast<Server*>(cls)->Handle(*exchange));
  }

  HttpResponse Handle(const Exchange& exchange) const {
    if (exchange.too_large) return ErrorResponse(HttpCode::kBodyTooLarge);
    try {
      return handler_(exchange.request);
    } catch (const std::exception& error) {
      // The HTTP library is written in C: an exception that reaches it would
      // terminate the process.
      Log(LogLevel::kError, "http",
          std::string("An HTTP request handler failed: ") + error.what() + ".");
      return ErrorResponse(HttpCode::kHandlerFailed);
    }
  }

  static HttpResponse ErrorResponse(std::error_code error) {
    const std::string code = std::to_string(error.value());
    return {
        FindResultCode(error)->http_status, "application/json",
        "{\"code\":" + code + ",\"message\":\"" + error.message() + "\"}\n"};
  }

  static MHD_Result Answer(MHD_Connection* connection,
                           const HttpResponse& answer) {
    std::string body = answer.body;
    MHD_Response* response = MHD_create_response_from_buffer(
        body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type",
                            answer.content_type.c_str());
    const MHD_Result queued = MHD_queue_response(
        connection, static_cast<unsigned>(answer.status), response);
    MHD_destroy_response(response);
    return queued;
  }

  static void OnCompleted(void*, MHD_Connection*, void** state,
                          MHD_RequestTerminationCode) {
    delete static_cast<Exchange*>(*state);
    *state = nullptr;
  }

  Handler handler_;
  MHD_Daemon* daemon_ = nullptr;
};

}  // namespace

std::unique_ptr<SimpleHttpServer> StartSimpleHttpServer(
    const std::string& address, uint16_t port,
    SimpleHttpServer::Handler handler, HttpThreads threads,
    std::error_code& error) {
  auto server = std::make_unique<Server>(std::move(handler));
  if (server->Start(address, port, threads)) return server;
  error = HttpCode::kListenFailed;
  return nullptr;
}

}  // namespace hibiscusglade
