#include "caller/internal/response_stream.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "routing/routing_result_codes.h"

namespace hibiscusglade {

void ResponseBuffer::PutHead(const AnswerHead& head) {
  std::lock_guard<std::mutex> lock(mutex_);
  head_ = head;
  Wake();
}

void ResponseBuffer::PutData(std::string data) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (data_offset_ == data_.size()) {
    data_ = std::move(data);
    data_offset_ = 0;
  } else {
    data_ += data;
  }
  Wake();
}

void ResponseBuffer::PutEnd() {
  std::lock_guard<std::mutex> lock(mutex_);
  ended_ = true;
  Wake();
}

void ResponseBuffer::PutBroken() {
  std::lock_guard<std::mutex> lock(mutex_);
  broken_ = true;
  Wake();
}

void ResponseBuffer::PutRefusal(const Refusal& refusal) {
  std::lock_guard<std::mutex> lock(mutex_);
  refusal_ = refusal;
  Wake();
}

void ResponseBuffer::PutGone() {
  std::lock_guard<std::mutex> lock(mutex_);
  broken_ = true;
  if (!head_.has_value() && !refusal_.has_value()) {
    refusal_ = Refusal{RoutingCode::kCallerGone, Certainty::kUnknown, "", {}};
  }
  Wake();
}

bool ResponseBuffer::SuspendUntilHead() {
  std::lock_guard<std::mutex> lock(mutex_);
  if (head_.has_value() || refusal_.has_value()) return true;
  suspended_ = true;
  MHD_suspend_connection(connection_);
  return false;
}

std::optional<AnswerHead> ResponseBuffer::Head() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return head_;
}

std::optional<Refusal> ResponseBuffer::Refused() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return refusal_;
}

ssize_t ResponseBuffer::TakeData(char* out, size_t most) {
  std::lock_guard<std::mutex> lock(mutex_);
  const size_t held = data_.size() - data_offset_;
  if (held > 0) {
    const size_t taken = std::min(held, most);
    std::memcpy(out, data_.data() + data_offset_, taken);
    data_offset_ += taken;
    return static_cast<ssize_t>(taken);
  }
  if (broken_) return MHD_CONTENT_READER_END_WITH_ERROR;
  if (ended_) return MHD_CONTENT_READER_END_OF_STREAM;
  suspended_ = true;
  MHD_suspend_connection(connection_);
  return 0;
}

void ResponseBuffer::Detach() {
  std::lock_guard<std::mutex> lock(mutex_);
  connection_ = nullptr;
}

void ResponseBuffer::Wake() {
  if (!suspended_ || connection_ == nullptr) return;
  suspended_ = false;
  MHD_resume_connection(connection_);
}

}  // namespace hibiscusglade
