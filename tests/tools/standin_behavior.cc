#include "tests/tools/standin_behavior.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace hibiscusglade {
namespace {

constexpr uint64_t kRecordBytes = 16;

std::string FormatCounts(const std::map<std::string, int>& counts) {
  std::string lines;
  for (const auto& [name, count] : counts) {
    lines += std::to_string(count) + " " + name + "\n";
  }
  return lines;
}

}  // namespace

bool StandinSettings::Set(const std::string& name, int value) {
  const std::map<std::string, int*> fields = {
      {"service_ms", &service_ms},
      {"slowdown", &slowdown},
      {"straggler_every", &straggler_every},
      {"straggler_factor", &straggler_factor},
      {"cold_ms", &cold_ms},
      {"cold_factor", &cold_factor}};
  auto field = fields.find(name);
  if (field == fields.end()) return false;
  *field->second = value;
  return true;
}

std::chrono::milliseconds StandinSettings::ServiceTime(
    uint64_t number, int requested_ms, std::chrono::milliseconds uptime) const {
  int64_t ms = int64_t{requested_ms} * slowdown;
  if (straggler_every > 0 &&
      number % static_cast<uint64_t>(straggler_every) == 0) {
    ms *= straggler_factor;
  }
  if (uptime.count() < cold_ms) ms *= cold_factor;
  return std::chrono::milliseconds(ms);
}

void StandinSlots::Acquire() {
  std::unique_lock<std::mutex> lock(mutex_);
  if (free_ == 0) ++wait_count_;
  changed_.wait(lock, [this] { return free_ > 0; });
  --free_;
  max_in_use_ = std::max(max_in_use_, ++in_use_);
}

void StandinSlots::Release() {
  std::lock_guard<std::mutex> lock(mutex_);
  ++free_;
  --in_use_;
  changed_.notify_one();
}

uint64_t StandinSlots::WaitCount() {
  std::lock_guard<std::mutex> lock(mutex_);
  return wait_count_;
}

int StandinSlots::MaxInUse() {
  std::lock_guard<std::mutex> lock(mutex_);
  return max_in_use_;
}

uint64_t StandinRuns::Add(const std::string& request, const std::string& key) {
  std::lock_guard<std::mutex> lock(mutex_);
  ++by_request_[request];
  if (!key.empty()) ++by_key_[key];
  return ++total_;
}

std::string StandinRuns::ByRequest() {
  std::lock_guard<std::mutex> lock(mutex_);
  return FormatCounts(by_request_);
}

std::string StandinRuns::ByKey() {
  std::lock_guard<std::mutex> lock(mutex_);
  return FormatCounts(by_key_);
}

StandinBody::StandinBody(std::string first_line, uint64_t bytes)
    : first_line_(std::move(first_line)),
      size_(std::max<uint64_t>(bytes, first_line_.size())) {}

size_t StandinBody::Read(uint64_t offset, char* out, size_t max_bytes) const {
  size_t done = 0;
  while (done < max_bytes && offset < size_) {
    if (offset < first_line_.size()) {
      out[done++] = first_line_[offset++];
      continue;
    }
    const uint64_t at = offset - first_line_.size();
    char record[kRecordBytes + 1];
    std::snprintf(record, sizeof(record), "%015llx\n",
                  static_cast<unsigned long long>(at / kRecordBytes));
    for (uint64_t i = at % kRecordBytes;
         i < kRecordBytes && done < max_bytes && offset < size_;
         ++i, ++offset) {
      out[done++] = record[i];
    }
  }
  return done;
}

}  // namespace hibiscusglade
