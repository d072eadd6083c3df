#include "membership/internal/record_table.h"

namespace hibiscusglade {
namespace {

size_t BucketOf(const std::string& instance) {
  return DigestOf(instance) % RecordTable::kBuckets;
}

}  // namespace

void RecordTable::Put(const InstanceRecord& record, Instant now) {
  auto found = records_.find(record.instance);
  if (found != records_.end()) ToggleDigest(found->second.record);
  records_[record.instance] = {record, now};
  ToggleDigest(record);
}

const RecordTable::StoredRecord* RecordTable::Find(
    const std::string& instance) const {
  auto found = records_.find(instance);
  return found == records_.end() ? nullptr : &found->second;
}

bool RecordTable::RemoveExpired(Instant now, Duration age) {
  bool any_removed = false;
  for (auto item = records_.begin(); item != records_.end();) {
    const StoredRecord& stored = item->second;
    if (stored.record.state <= InstanceState::kSuspected ||
        now - stored.changed_at <= age) {
      ++item;
      continue;
    }
    ToggleDigest(stored.record);
    item = records_.erase(item);
    any_removed = true;
  }
  return any_removed;
}

void RecordTable::RemoveDomain(const std::string& failure_domain) {
  std::erase_if(records_, [&](const auto& item) {
    const InstanceRecord& record = item.second.record;
    if (record.failure_domain != failure_domain) return false;
    ToggleDigest(record);
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
  for (const auto& [instance, stored] : records_) {
    const size_t bucket = BucketOf(instance);
    if (other[bucket] != buckets_[bucket]) records.push_back(stored.record);
  }
  return records;
}

void RecordTable::ToggleDigest(const InstanceRecord& record) {
  const std::string key = record.instance + '/' +
                          std::to_string(record.incarnation) + '/' +
                          std::to_string(record.sequence) + '/' +
                          std::to_string(static_cast<int>(record.state));
  buckets_[BucketOf(record.instance)] ^= DigestOf(key);
}

}  // namespace hibiscusglade
