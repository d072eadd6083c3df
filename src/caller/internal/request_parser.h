#ifndef HIBISCUSGLADE_CALLER_INTERNAL_REQUEST_PARSER_H_
#define HIBISCUSGLADE_CALLER_INTERNAL_REQUEST_PARSER_H_

#include <http_parser.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "caller/caller_dialect.h"
#include "caller/caller_result_codes.h"
#include "calls/types/call_types.h"

namespace hibiscusglade {

/// Size limits of one request.
struct RequestLimits {
  uint64_t max_head_bytes = 16 << 10;
  uint64_t max_body_bytes = 8 << 20;

  friend bool operator==(const RequestLimits&, const RequestLimits&) = default;
};

/// @return limits that allow what either of them allows.
inline RequestLimits LooserOf(const RequestLimits& a, const RequestLimits& b) {
  return {std::max(a.max_head_bytes, b.max_head_bytes),
          std::max(a.max_body_bytes, b.max_body_bytes)};
}

/// One complete request.
struct ParsedRequest {
  CallRequest request;
  bool keep_alive = true;  ///< Whether the connection may stay open after it.
  bool accepts_chunked = true;  ///< False for HTTP/1.0.
};

enum class ParseState {
  kIdle,  ///< No byte of the next request was parsed.
  kInHead,
  kInBody,
  kComplete,  ///< TakeRequest() returns a request; parsing is paused.
  kFailed,    ///< The rest of the connection's input can't be parsed.
};

/// Parses the requests of one connection with the HTTP library, one at a time.
class RequestParser {
 public:
  explicit RequestParser(const CallerDialect& dialect);
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  /// Sets the limits in force; to be called before each Read(). A request may
  /// be as large as any of those allow that were in force since its first byte.
  void SetLimits(const RequestLimits& limits) {
    limits_ = state_ == ParseState::kIdle ? limits : LooserOf(limits_, limits);
  }

  /// Parses input up to the end of a request.
  /// @param bytes input; the parsed part is removed from its front.
  ParseState Read(std::string_view& bytes);

  ParseState State() const { return state_; }

  /// @return bytes of the body that were read of the request being read.
  size_t BodyBytes() const { return parsed_.request.body.size(); }

  /// @return the request; the state must be kComplete.
  ParsedRequest TakeRequest();

  /// @return why parsing failed; the state must be kFailed.
  CallerCode Error() const { return error_; }

  /// @return whether the caller expects "100 Continue" before it sends the
  /// body; true only once for each request.
  bool TakeExpectsContinue();

 private:
  template <int (RequestParser::*kMethod)()>
  static int NotifyCallback(http_parser* parser);
  template <int (RequestParser::*kMethod)(std::string_view)>
  static int DataCallback(http_parser* parser, const char* at, size_t length);
  static const http_parser_settings& Settings();

  int OnBegin();
  int OnUrl(std::string_view text);
  int OnFieldName(std::string_view text);
  int OnFieldValue(std::string_view text);
  int OnHeadEnd();
  int OnBody(std::string_view text);
  int OnEnd();
  bool CountHeadBytes(size_t bytes);
  void FinishField();
  int Fail(CallerCode error);

  const CallerDialect& dialect_;
  RequestLimits limits_;
  http_parser parser_{};
  ParseState state_ = ParseState::kIdle;
  CallerCode error_ = CallerCode::kMalformed;
  ParsedRequest parsed_;
  HeaderField field_;
  bool in_value_ = false;
  bool head_done_ = false;
  bool expects_continue_ = false;
  uint64_t head_bytes_ = 0;
  uint64_t framing_bytes_ = 0;  ///< Of the body, since its last byte.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLER_INTERNAL_REQUEST_PARSER_H_
