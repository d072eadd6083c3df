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

/// On which threads requests are handled.
enum class HttpThreads {
  kOneEach,  ///< One thread a connection: handlers may wait.
  kOne,      ///< One for all: handlers must not wait.
};

/// Small HTTP server for operators and announcements: whole requests, whole
/// answers.
class SimpleHttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  virtual ~SimpleHttpServer() = default;
};

/// Starts a server.
/// @param address IP address to listen on.
/// @param error set to HttpCode::kListenFailed when it can't be used.
std::unique_ptr<SimpleHttpServer> StartSimpleHttpServer(
    const std::string& address, uint16_t port,
    SimpleHttpServer::Handler handler, HttpThreads threads,
    std::error_code& error);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_HTTP_SIMPLE_HTTP_SERVER_H_
