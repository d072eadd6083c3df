#ifndef HIBISCUSGLADE_HTTP_SIMPLE_HTTP_SERVER_H_
#define HIBISCUSGLADE_HTTP_SIMPLE_HTTP_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <system_error>

namespace hibiscusglade {

struct HttpRequest {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// Threads that run the handler.
enum class HttpThreads {
  kThreadPerConnection,  ///< One thread per connection: handlers may block.
  kSingleThread,  ///< One thread for all connections: handlers must not block.
};

/// Small HTTP server for the operator API, announcements, readiness and
/// metrics. Passes complete requests to its handler and sends complete answers,
/// without streaming. Stops when it is destroyed.
class SimpleHttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  virtual ~SimpleHttpServer() = default;
};

/// Starts a server.
/// @param address IP address to listen on.
/// @param error set to HttpCode::kListenFailed when the address can't be used.
/// @return nullptr on failure.
std::unique_ptr<SimpleHttpServer> StartSimpleHttpServer(
    const std::string& address, uint16_t port,
    SimpleHttpServer::Handler handler, HttpThreads threads,
    std::error_code& error);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_HTTP_SIMPLE_HTTP_SERVER_H_
