#include "membership/internal/record_table.h"

namespace hibiscusglade {
namespace {

size_t BucketOf(const std::string& instance) {
  return DigestOf(instance) % RecordTable::kBuckets;
}

}  // namespace

void RecordTable::Put(const InstanceRecord& record, Instant now) {
  auto found = records_.find(record.instance);
  if (found != records_.end()) Toggle(found->second.record);
  records_[record.instance] = {record, now};
  Toggle(record);
}

const RecordTable::Held* RecordTable::Find(const std::string& instance) const {
  auto found = records_.find(instance);
  return found == records_.end() ? nullptr : &found->second;
}

bool RecordTable::Forget(Instant now, Duration age) {
  bool any = false;
  for (auto item = records_.begin(); item != records_.end();) {
    const Held& held = item->second;
    if (held.record.state <= InstanceState::kSuspected ||
        now - held.changed <= age) {
      ++item;
      continue;
    }
    Toggle(held.record);
    item = records_.erase(item);
    any = true;
  }
  return any;
}

void RecordTable::ForgetDomain(const std::string& failure_domain) {
  std::erase_if(records_, [&](const auto& item) {
    const InstanceRecord& record = item.second.record;
    if (record.failure_domain != failure_domain) return false;
    Toggle(record);
    return true;
  });
}

std::vector<Digest> RecordTable::BucketDigests() const {
  return {buckets_.begin(), buckets_.end()};
}

std::vector<InstanceRecord> RecordTable::Differing(
    const std::vector<Digest>& other) const {
  std::vector<InstanceRecord> records;
  if (other.size() != kBuckets) return records;
  for (const auto& [instance, held] : records_) {
    const size_t bucket = BucketOf(instance);
    if (other[bucket] != buckets_[bucket]) records.push_back(held.record);
  }
  return records;
}

void RecordTable::Toggle(const InstanceRecord& record) {
  const std::string key = record.instance + '/' +
                          std::to_string(record.incarnation) + '/' +
                          std::to_string(record.sequence) + '/' +
                          std::to_string(static_cast<int>(record.state));
  buckets_[BucketOf(record.instance)] ^= DigestOf(key);
}

}  // namespace hibiscusglade
