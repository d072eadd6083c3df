#include "caller/internal/exchange.h"

#include <http_parser.h>

#include <array>
#include <cstdio>
#include <utility>

#include "caller/internal/hop_fields.h"
#include "calls/field_values.h"

namespace hibiscusglade {
namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr char kLastChunk[] = "0\r\n\r\n";
/// Sent bytes are dropped from the front once there are this many.
constexpr size_t kDropBytes = size_t{64} << 10U;

}  // namespace

Exchange::Exchange(CallRequest request, const CallerDialect& dialect,
                   bool keep_alive, bool chunks_known)
    : request_(std::move(request)),
      dialect_(dialect),
      keep_alive_(keep_alive),
      chunks_known_(chunks_known) {}

CallRequest Exchange::TakeRequest() {
  CallRequest taken = std::move(request_);
  request_ = {};
  request_.request_id = taken.request_id;
  request_.method = taken.method;
  return taken;
}

void Exchange::PutHead(const AnswerHead& head) {
  head_put_ = true;
  const bool bare = head.status == kNoContent || head.status == kNotModified;
  has_body_ = !bare && request_.method != "HEAD";
  PutStatus(head.status);
  for (const HeaderField& field : head.headers) {
    if (IsHopField(field.name) || SameField(field.name, "Content-Length")) {
      continue;
    }
    PutField(field.name, field.value);
  }
  for (const HeaderField& field : dialect_.AnswerFields(request_)) {
    PutField(field.name, field.value);
  }
  if (head.content_length >= 0 && !bare) {
    PutField("Content-Length", std::to_string(head.content_length));
  } else if (has_body_ && chunks_known_) {
    chunked_ = true;
    PutField("Transfer-Encoding", "chunked");
  } else if (has_body_) {
    keep_alive_ = false;
  }
  if (!keep_alive_) PutField("Connection", "close");
  out_ += "\r\n";
  Changed();
}

void Exchange::PutData(const std::string& data) {
  body_put_ += data.size();
  if (!has_body_ || data.empty()) return;
  if (!chunked_) {
    out_ += data;
  } else {
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    out_.append(size.data()).append(data).append("\r\n");
  }
  Changed();
}

void Exchange::PutEnd() {
  if (chunked_) out_ += kLastChunk;
  done_ = true;
  Changed();
}

void Exchange::PutBroken(const Refusal& reason) {
  if (sent_ == 0) {
    // Nothing has left yet, so that the caller can be told.
    out_.clear();
    chunked_ = false;
    PutRefusal(reason);
    return;
  }
  broken_ = true;
  done_ = true;
  Changed();
}

void Exchange::PutRefusal(const Refusal& refusal) {
  const CallerNotice notice = dialect_.NoticeOf(request_, refusal);
  PutStatus(notice.status);
  for (const HeaderField& field : notice.headers) {
    PutField(field.name, field.value);
  }
  PutField("Content-Length", std::to_string(notice.body.size()));
  if (!keep_alive_) PutField("Connection", "close");
  out_ += "\r\n";
  if (request_.method != "HEAD") out_ += notice.body;
  done_ = true;
  Changed();
}

std::string_view Exchange::Ready() const {
  return std::string_view(out_).substr(offset_);
}

void Exchange::Sent(size_t bytes) {
  sent_ += bytes;
  offset_ += bytes;
  if (offset_ == out_.size()) {
    out_.clear();
    offset_ = 0;
  } else if (offset_ >= kDropBytes) {
    out_.erase(0, offset_);
    offset_ = 0;
  }
}

uint64_t Exchange::TakeConsumed() {
  if (!Ready().empty()) return 0;
  return body_put_ - std::exchange(body_told_, body_put_);
}

void Exchange::Changed() {
  if (changed) changed();
}

void Exchange::PutStatus(int status) {
  const std::string code = std::to_string(status);
  out_ += "HTTP/1.1 " + code + " " +
          http_status_str(static_cast<http_status>(status)) + "\r\n";
}

void Exchange::PutField(const std::string& name, const std::string& value) {
  out_.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace hibiscusglade
