#include "caller/internal/request_parser.h"

#include <utility>

#include "caller/internal/hop_fields.h"
#include "calls/field_values.h"

namespace hibiscusglade {
namespace {

/// The HTTP library's own limit for heads, which applies to the whole process.
/// It exceeds every RequestLimits::max_head_bytes, so that these take effect.
constexpr uint32_t kLibraryHeadBytes = 128U << 10U;

}  // namespace

template <int (RequestParser::*kMethod)()>
int RequestParser::NotifyCallback(http_parser* parser) {
  return (static_cast<RequestParser*>(parser->data)->*kMethod)();
}

template <int (RequestParser::*kMethod)(std::string_view)>
int RequestParser::DataCallback(http_parser* parser, const char* at,
                                size_t length) {
  return (static_cast<RequestParser*>(parser->data)->*kMethod)({at, length});
}

const http_parser_settings& RequestParser::Settings() {
  static const http_parser_settings settings = [] {
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    http_parser_set_max_header_size(kLibraryHeadBytes);
    callbacks.on_message_begin = &NotifyCallback<&RequestParser::OnBegin>;
    callbacks.on_url = &DataCallback<&RequestParser::OnUrl>;
    callbacks.on_header_field = &DataCallback<&RequestParser::OnFieldName>;
    callbacks.on_header_value = &DataCallback<&RequestParser::OnFieldValue>;
    callbacks.on_headers_complete = &NotifyCallback<&RequestParser::OnHeadEnd>;
    callbacks.on_body = &DataCallback<&RequestParser::OnBody>;
    callbacks.on_message_complete = &NotifyCallback<&RequestParser::OnEnd>;
    return callbacks;
  }();
  return settings;
}

RequestParser::RequestParser(const CallerDialect& dialect) : dialect_(dialect) {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
}

ParseState RequestParser::Read(std::string_view& bytes) {
  if (state_ == ParseState::kFailed || state_ == ParseState::kComplete) {
    return state_;
  }
  const size_t body_bytes = parsed_.request.body.size();
  const bool was_in_body = state_ == ParseState::kInBody;
  const size_t read =
      http_parser_execute(&parser_, &Settings(), bytes.data(), bytes.size());
  bytes.remove_prefix(read);
  const bool only_framing = was_in_body && state_ == ParseState::kInBody &&
                            parsed_.request.body.size() == body_bytes;
  framing_bytes_ = only_framing ? framing_bytes_ + read : 0;
  // The library drops extensions of chunks, however long they are.
  if (framing_bytes_ > limits_.max_head_bytes) Fail(CallerCode::kHeadTooLarge);
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (error == HPE_OK || state_ == ParseState::kFailed) return state_;
  if (error == HPE_PAUSED) {
    http_parser_pause(&parser_, 0);
    return state_;
  }
  if (error == HPE_HEADER_OVERFLOW) {
    Fail(CallerCode::kHeadTooLarge);
  } else if (error == HPE_INVALID_METHOD) {
    Fail(CallerCode::kMethodUnknown);
  } else {
    Fail(CallerCode::kMalformed);
  }
  return state_;
}

ParsedRequest RequestParser::TakeRequest() {
  state_ = ParseState::kIdle;
  return std::exchange(parsed_, {});
}

bool RequestParser::TakeExpectsContinue() {
  return std::exchange(expects_continue_, false);
}

int RequestParser::OnBegin() {
  state_ = ParseState::kInHead;
  parsed_ = {};
  field_ = {};
  in_value_ = false;
  head_done_ = false;
  expects_continue_ = false;
  head_bytes_ = 0;
  return 0;
}

int RequestParser::OnUrl(std::string_view text) {
  if (!CountHeadBytes(text.size())) return Fail(CallerCode::kHeadTooLarge);
  parsed_.request.target.append(text);
  return 0;
}

int RequestParser::OnFieldName(std::string_view text) {
  if (!CountHeadBytes(text.size())) return Fail(CallerCode::kHeadTooLarge);
  if (in_value_) FinishField();
  field_.name.append(text);
  return 0;
}

int RequestParser::OnFieldValue(std::string_view text) {
  if (!CountHeadBytes(text.size())) return Fail(CallerCode::kHeadTooLarge);
  in_value_ = true;
  field_.value.append(text);
  return 0;
}

int RequestParser::OnHeadEnd() {
  if (in_value_ || !field_.name.empty()) FinishField();
  if (state_ == ParseState::kFailed) return -1;
  CallRequest& request = parsed_.request;
  request.method = http_method_str(static_cast<http_method>(parser_.method));
  parsed_.keep_alive = http_should_keep_alive(&parser_) != 0;
  parsed_.accepts_chunked = parser_.http_major > 1 ||
                            (parser_.http_major == 1 && parser_.http_minor > 0);
  // CONNECT and TRACE don't address a resource of an upstream.
  if (parser_.method == HTTP_CONNECT || parser_.method == HTTP_TRACE) {
    return Fail(CallerCode::kMethodUnknown);
  }
  if (!request.target.starts_with('/')) return Fail(CallerCode::kMalformed);
  // Protocol upgrades are not supported; the body is read as of any request.
  parser_.upgrade = 0;
  head_done_ = true;
  state_ = ParseState::kInBody;
  if ((parser_.flags & F_CONTENTLENGTH) != 0 &&
      parser_.content_length > limits_.max_body_bytes) {
    return Fail(CallerCode::kBodyTooLarge);
  }
  return 0;
}

int RequestParser::OnBody(std::string_view text) {
  std::string& body = parsed_.request.body;
  if (body.size() + text.size() > limits_.max_body_bytes) {
    return Fail(CallerCode::kBodyTooLarge);
  }
  body.append(text);
  return 0;
}

int RequestParser::OnEnd() {
  state_ = ParseState::kComplete;
  http_parser_pause(&parser_, 1);
  return 0;
}

bool RequestParser::CountHeadBytes(size_t bytes) {
  constexpr size_t kSeparators = 2;
  head_bytes_ += bytes + kSeparators;
  return head_bytes_ <= limits_.max_head_bytes;
}

void RequestParser::FinishField() {
  const HeaderField field = std::exchange(field_, {});
  in_value_ = false;
  // Trailer fields only concern the transfer of the body and are dropped.
  if (head_done_) return;
  // The library takes a space before the colon as part of the name, which an
  // upstream may take for the field without it (RFC 9112, section 5.1).
  if (field.name.find_first_of(" \t") != std::string::npos) {
    Fail(CallerCode::kMalformed);
    return;
  }
  if (EqualFieldNames(field.name, "Host")) {
    parsed_.request.host = field.value;
  } else if (EqualFieldNames(field.name, "Expect")) {
    expects_continue_ = EqualFieldNames(field.value, "100-continue");
  } else if (!IsHopByHopField(field.name) &&
             !EqualFieldNames(field.name, "Content-Length")) {
    if (!dialect_.ReadField(field, parsed_.request)) {
      Fail(CallerCode::kHeaderInvalid);
    }
  }
}

int RequestParser::Fail(CallerCode error) {
  state_ = ParseState::kFailed;
  error_ = error;
  return -1;
}

}  // namespace hibiscusglade
