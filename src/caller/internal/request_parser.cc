#include "caller/internal/request_parser.h"

#include <utility>

#include "caller/internal/hop_fields.h"
#include "calls/field_values.h"

namespace hibiscusglade {
namespace {

/// More than any limit of ours: the library's own bound holds for the process.
constexpr uint32_t kLibraryHeadBytes = 128U << 10U;

}  // namespace

template <int (RequestParser::*kMethod)()>
int RequestParser::Notify(http_parser* parser) {
  return (static_cast<RequestParser*>(parser->data)->*kMethod)();
}

template <int (RequestParser::*kMethod)(std::string_view)>
int RequestParser::Data(http_parser* parser, const char* at, size_t length) {
  return (static_cast<RequestParser*>(parser->data)->*kMethod)({at, length});
}

const http_parser_settings& RequestParser::Settings() {
  static const http_parser_settings settings = [] {
    http_parser_settings made;
    http_parser_settings_init(&made);
    http_parser_set_max_header_size(kLibraryHeadBytes);
    made.on_message_begin = &Notify<&RequestParser::OnBegin>;
    made.on_url = &Data<&RequestParser::OnUrl>;
    made.on_header_field = &Data<&RequestParser::OnFieldName>;
    made.on_header_value = &Data<&RequestParser::OnFieldValue>;
    made.on_headers_complete = &Notify<&RequestParser::OnHeadEnd>;
    made.on_body = &Data<&RequestParser::OnBody>;
    made.on_message_complete = &Notify<&RequestParser::OnEnd>;
    return made;
  }();
  return settings;
}

RequestParser::RequestParser(const CallerDialect& dialect) : dialect_(dialect) {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
}

ParseState RequestParser::Read(std::string_view& bytes) {
  if (state_ == ParseState::kFault || state_ == ParseState::kWhole) {
    return state_;
  }
  const size_t read =
      http_parser_execute(&parser_, &Settings(), bytes.data(), bytes.size());
  bytes.remove_prefix(read);
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (error == HPE_OK || state_ == ParseState::kFault) return state_;
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
  state_ = ParseState::kBetween;
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
  if (!CountHead(text.size())) return Fail(CallerCode::kHeadTooLarge);
  parsed_.request.target.append(text);
  return 0;
}

int RequestParser::OnFieldName(std::string_view text) {
  if (!CountHead(text.size())) return Fail(CallerCode::kHeadTooLarge);
  if (in_value_) EndField();
  field_.name.append(text);
  return 0;
}

int RequestParser::OnFieldValue(std::string_view text) {
  if (!CountHead(text.size())) return Fail(CallerCode::kHeadTooLarge);
  in_value_ = true;
  field_.value.append(text);
  return 0;
}

int RequestParser::OnHeadEnd() {
  if (in_value_ || !field_.name.empty()) EndField();
  if (state_ == ParseState::kFault) return -1;
  CallRequest& request = parsed_.request;
  request.method = http_method_str(static_cast<http_method>(parser_.method));
  parsed_.keep_alive = http_should_keep_alive(&parser_) != 0;
  parsed_.chunks_known = parser_.http_major > 1 ||
                         (parser_.http_major == 1 && parser_.http_minor > 0);
  // Neither names a resource of an upstream.
  if (parser_.method == HTTP_CONNECT || parser_.method == HTTP_TRACE) {
    return Fail(CallerCode::kMethodUnknown);
  }
  if (!request.target.starts_with('/')) return Fail(CallerCode::kMalformed);
  // Nothing here changes protocol; the body is read as any other.
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
  state_ = ParseState::kWhole;
  http_parser_pause(&parser_, 1);
  return 0;
}

bool RequestParser::CountHead(size_t bytes) {
  constexpr size_t kSeparators = 2;
  head_bytes_ += bytes + kSeparators;
  return head_bytes_ <= limits_.max_head_bytes;
}

void RequestParser::EndField() {
  const HeaderField field = std::exchange(field_, {});
  in_value_ = false;
  // Fields after the body concern its transfer only.
  if (head_done_) return;
  if (SameField(field.name, "Host")) {
    parsed_.request.host = field.value;
  } else if (SameField(field.name, "Expect")) {
    expects_continue_ = SameField(field.value, "100-continue");
  } else if (!IsHopField(field.name) &&
             !SameField(field.name, "Content-Length")) {
    if (!dialect_.TakeField(field, parsed_.request)) {
      Fail(CallerCode::kHeaderInvalid);
    }
  }
}

int RequestParser::Fail(CallerCode fault) {
  state_ = ParseState::kFault;
  fault_ = fault;
  return -1;
}

}  // namespace hibiscusglade
