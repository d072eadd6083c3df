#include "caller/internal/exchange.h"

#include <http_parser.h>

#include <array>
#include <cstdio>
#include <utility>

#include "caller/internal/hop_fields.h"
#include "calls/answer_status.h"
#include "calls/field_values.h"
#include "routing/routing_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kBadGateway = 502;
constexpr char kLastChunk[] = "0\r\n\r\n";
/// Sent bytes are erased from the output once there are this many.
constexpr size_t kEraseThresholdBytes = size_t{64} << 10U;

}  // namespace

Exchange::Exchange(CallRequest request, const CallerDialect& dialect,
                   bool keep_alive, bool accepts_chunked)
    : request_(std::move(request)),
      dialect_(dialect),
      keep_alive_(keep_alive),
      accepts_chunked_(accepts_chunked) {}

CallRequest Exchange::TakeRequest() {
  CallRequest taken = std::move(request_);
  request_ = {};
  request_.request_id = taken.request_id;
  request_.method = taken.method;
  return taken;
}

void Exchange::PutHead(const AnswerHead& head) {
  if (!IsAnswerStatus(head.status)) {
    const std::error_code code = RoutingCode::kAnswerBroken;
    PutRefusal({code, Certainty::kUnknown, code.message(), {}});
    return;
  }
  const bool bodyless =
      head.status == kNoContent || head.status == kNotModified;
  has_body_ = !bodyless && request_.method != "HEAD";
  PutStatus(head.status);
  for (const HeaderField& field : head.headers) {
    if (IsHopByHopField(field.name) ||
        EqualFieldNames(field.name, "Content-Length")) {
      continue;
    }
    PutField(field.name, field.value);
  }
  for (const HeaderField& field : dialect_.AnswerFields(request_)) {
    PutField(field.name, field.value);
  }
  if (head.content_length > 0) {
    expected_bytes_ = static_cast<size_t>(head.content_length);
  }
  if (head.content_length >= 0 && !bodyless) {
    PutField("Content-Length", std::to_string(head.content_length));
  } else if (has_body_ && accepts_chunked_) {
    chunked_ = true;
    PutField("Transfer-Encoding", "chunked");
  } else if (has_body_) {
    keep_alive_ = false;
  }
  if (!keep_alive_) PutField("Connection", "close");
  out_ += "\r\n";
  NotifyOutput();
}

void Exchange::PutData(const std::string& data) {
  if (done_) return;
  body_put_ += data.size();
  if (!has_body_ || data.empty()) return;
  if (!chunked_) {
    out_ += data;
  } else {
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    out_.append(size.data()).append(data).append("\r\n");
  }
  NotifyOutput();
}

void Exchange::PutEnd() {
  if (done_) return;
  if (chunked_) out_ += kLastChunk;
  done_ = true;
  NotifyOutput();
}

void Exchange::PutBroken(const Refusal& reason) {
  if (done_) return;
  if (sent_ == 0) {
    // Nothing was sent yet, so the caller can still get an error answer.
    out_.clear();
    chunked_ = false;
    PutRefusal(reason);
    return;
  }
  broken_ = true;
  done_ = true;
  NotifyOutput();
}

void Exchange::PutRefusal(const Refusal& refusal) {
  const ErrorAnswer answer = dialect_.ErrorAnswerFor(request_, refusal);
  PutStatus(answer.status);
  for (const HeaderField& field : answer.headers) {
    PutField(field.name, field.value);
  }
  PutField("Content-Length", std::to_string(answer.body.size()));
  if (!keep_alive_) PutField("Connection", "close");
  out_ += "\r\n";
  if (request_.method != "HEAD") out_ += answer.body;
  done_ = true;
  NotifyOutput();
}

std::string_view Exchange::Unsent() const {
  return std::string_view(out_).substr(offset_);
}

void Exchange::MarkSent(size_t bytes) {
  sent_ += bytes;
  offset_ += bytes;
  if (offset_ == out_.size()) {
    out_.clear();
    offset_ = 0;
  } else if (offset_ >= kEraseThresholdBytes) {
    out_.erase(0, offset_);
    offset_ = 0;
  }
}

uint64_t Exchange::TakeConsumed() { return Unsent().empty() ? TakeHeld() : 0; }

uint64_t Exchange::TakeHeld() {
  return body_put_ - std::exchange(body_reported_, body_put_);
}

void Exchange::NotifyOutput() {
  if (on_output) on_output();
}

void Exchange::PutStatus(int status) {
  const int valid = IsAnswerStatus(status) ? status : kBadGateway;
  out_ += "HTTP/1.1 " + std::to_string(valid) + " " +
          http_status_str(static_cast<http_status>(valid)) + "\r\n";
}

void Exchange::PutField(const std::string& name, const std::string& value) {
  out_.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace hibiscusglade
