#ifndef HIBISCUSGLADE_MEMBERSHIP_INTERNAL_RECORD_TABLE_H_
#define HIBISCUSGLADE_MEMBERSHIP_INTERNAL_RECORD_TABLE_H_

#include <array>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "membership/types/instance_record.h"

namespace hibiscusglade {

/// Records of all instances, hashed into buckets. Two daemons compare their
/// tables by the digests of the buckets, without sending all records.
class RecordTable {
 public:
  static constexpr size_t kBuckets = 128;

  struct StoredRecord {
    InstanceRecord record;
    Instant changed_at;
  };

  void Put(const InstanceRecord& record, Instant now);

  /// @return nullptr when there is no record of the instance.
  const StoredRecord* Find(const std::string& instance) const;

  /// Removes records of instances that have been dead or left for longer than
  /// `age`.
  /// @return whether any record was removed.
  bool RemoveExpired(Instant now, Duration age);

  /// Removes all records of a failure domain.
  void RemoveDomain(const std::string& failure_domain);

  const std::map<std::string, StoredRecord>& All() const { return records_; }

  std::vector<Digest> BucketDigests() const;

  /// @return the records in buckets whose digest differs from that in `other`;
  /// none when `other` has another number of buckets.
  std::vector<InstanceRecord> Differing(const std::vector<Digest>& other) const;

 private:
  /// Adds a record to its bucket's digest, or removes it: the digest is the XOR
  /// of its records' digests.
  void ToggleDigest(const InstanceRecord& record);

  std::map<std::string, StoredRecord> records_;
  std::array<Digest, kBuckets> buckets_{};
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_INTERNAL_RECORD_TABLE_H_
