#ifndef HIBISCUSGLADE_CTL_INTERNAL_API_CLIENT_H_
#define HIBISCUSGLADE_CTL_INTERNAL_API_CLIENT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace hibiscusglade {

/// A daemon's answer; status 0 when there was none.
struct ApiAnswer {
  long status = 0;
  bool connected = false;  ///< The request may have reached the daemon.
  nlohmann::json body;
  std::string text;
};

/// Asks the operators' API of one daemon.
class ApiClient {
 public:
  /// @param address "ip:port".
  explicit ApiClient(std::string address) : address_(std::move(address)) {}

  ApiAnswer Ask(const std::string& path) const { return Send("GET", path, ""); }
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
