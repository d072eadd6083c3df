#ifndef HIBISCUSGLADE_TESTS_HARNESS_HTTP_CLIENT_H_
#define HIBISCUSGLADE_TESTS_HARNESS_HTTP_CLIENT_H_

#include <map>
#include <string>
#include <vector>

namespace hibiscusglade {

/// An answer as a caller sees it.
struct HttpAnswer {
  int status = 0;      ///< 0 when the answer did not come whole.
  bool whole = false;  ///< The transfer ended as announced.
  std::string body;
  std::map<std::string, std::string> fields;  ///< Names in lower case.

  /// @return the result code of a refusal; 0 when there is none.
  int Code() const;
  /// @return "not-run", "unknown" or empty.
  std::string Outcome() const;
};

/// Sends one request and waits for the answer.
/// @param fields lines such as "Idempotency-Key: 7".
HttpAnswer SendHttp(const std::string& method, const std::string& url,
                    const std::string& body = "",
                    const std::vector<std::string>& fields = {},
                    int timeout_ms = 10000);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_TESTS_HARNESS_HTTP_CLIENT_H_
