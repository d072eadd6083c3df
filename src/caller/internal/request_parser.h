#ifndef HIBISCUSGLADE_CALLER_INTERNAL_REQUEST_PARSER_H_
#define HIBISCUSGLADE_CALLER_INTERNAL_REQUEST_PARSER_H_

#include <http_parser.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "caller/caller_dialect.h"
#include "caller/caller_result_codes.h"
#include "calls/types/call_types.h"

namespace hibiscusglade {

/// What a caller may send.
struct RequestLimits {
  uint64_t max_head_bytes = 16 << 10;
  uint64_t max_body_bytes = 8 << 20;

  friend bool operator==(const RequestLimits&, const RequestLimits&) = default;
};

/// One whole request as it was sent.
struct ParsedRequest {
  CallRequest request;
  bool keep_alive = true;    ///< Whether the caller sends more afterwards.
  bool chunks_known = true;  ///< Whether it understands chunked answers.
};

/// Where a parser stands after a piece of input.
enum class ParseState {
  kBetween,  ///< No byte of a request has come.
  kInHead,
  kInBody,
  kWhole,  ///< TakeRequest() gives a request; the input's rest was not read.
  kFault,  ///< Nothing that follows on the connection can be read.
};

/// Takes the requests of one connection out of its bytes, one after another.
/// Decides what a request is by the HTTP library; holds one at a time.
class RequestParser {
 public:
  explicit RequestParser(const CallerDialect& dialect);
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  /// Sets the limits for the next request.
  void SetLimits(const RequestLimits& limits) { limits_ = limits; }

  /// Reads on.
  /// @param bytes input; what was read is taken off its front.
  ParseState Read(std::string_view& bytes);

  ParseState State() const { return state_; }

  /// @return the request, once the state is kWhole.
  ParsedRequest TakeRequest();

  /// @return what is wrong, once the state is kFault.
  CallerCode Fault() const { return fault_; }

  /// @return once, whether the caller waits to be told to send the body.
  bool TakeExpectsContinue();

 private:
  template <int (RequestParser::*kMethod)()>
  static int Notify(http_parser* parser);
  template <int (RequestParser::*kMethod)(std::string_view)>
  static int Data(http_parser* parser, const char* at, size_t length);
  static const http_parser_settings& Settings();

  int OnBegin();
  int OnUrl(std::string_view text);
  int OnFieldName(std::string_view text);
  int OnFieldValue(std::string_view text);
  int OnHeadEnd();
  int OnBody(std::string_view text);
  int OnEnd();
  bool CountHead(size_t bytes);
  void EndField();
  int Fail(CallerCode fault);

  const CallerDialect& dialect_;
  RequestLimits limits_;
  http_parser parser_{};
  ParseState state_ = ParseState::kBetween;
  CallerCode fault_ = CallerCode::kMalformed;
  ParsedRequest parsed_;
  HeaderField field_;
  bool in_value_ = false;
  bool head_done_ = false;
  bool expects_continue_ = false;
  uint64_t head_bytes_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLER_INTERNAL_REQUEST_PARSER_H_
