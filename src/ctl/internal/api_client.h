#ifndef HIBISCUSGLADE_CTL_INTERNAL_API_CLIENT_H_
#define HIBISCUSGLADE_CTL_INTERNAL_API_CLIENT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace hibiscusglade {

/// Answer of a daemon.
struct ApiAnswer {
  long status = 0;  ///< HTTP status; 0 when there was no answer.
  /// Whether the connection was made; if so, the daemon may have received the
  /// request even without an answer.
  bool connected = false;
  nlohmann::json body;  ///< `text` parsed; discarded when it is not JSON.
  std::string text;
};

/// HTTP client of one daemon's operators' API.
class ApiClient {
 public:
  /// @param address "ip:port".
  explicit ApiClient(std::string address) : address_(std::move(address)) {}

  ApiAnswer Get(const std::string& path) const { return Send("GET", path, ""); }
  ApiAnswer Post(const std::string& path, const std::string& body) const {
    return Send("POST", path, body);
  }

 private:
  ApiAnswer Send(const std::string& method, const std::string& path,
                 const std::string& body) const;

  std::string address_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CTL_INTERNAL_API_CLIENT_H_
