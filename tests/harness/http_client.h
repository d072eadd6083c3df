#ifndef HIBISCUSGLADE_TESTS_HARNESS_HTTP_CLIENT_H_
#define HIBISCUSGLADE_TESTS_HARNESS_HTTP_CLIENT_H_

#include <map>
#include <string>
#include <vector>

namespace hibiscusglade {

/// An HTTP response as received by a caller.
struct HttpAnswer {
  int status = 0;         ///< 0 when the response is incomplete or missing.
  bool complete = false;  ///< The whole response was received.
  std::string body;
  std::map<std::string, std::string> fields;  ///< By lower-case header name.

  /// @return the X-Result-Code of a refusal; 0 without that header.
  int Code() const;
  /// @return the X-Outcome, "not-run" or "unknown"; empty without that header.
  std::string Outcome() const;
};

/// Sends one request and waits for the response.
/// @param fields header lines such as "Idempotency-Key: 7".
HttpAnswer SendHttp(const std::string& method, const std::string& url,
                    const std::string& body = "",
                    const std::vector<std::string>& fields = {},
                    int timeout_ms = 10000);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_TESTS_HARNESS_HTTP_CLIENT_H_
