#ifndef HIBISCUSGLADE_MEMBERSHIP_INTERNAL_RECORD_TABLE_H_
#define HIBISCUSGLADE_MEMBERSHIP_INTERNAL_RECORD_TABLE_H_

#include <array>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "membership/types/instance_record.h"

namespace hibiscusglade {

/// Records of all instances, with digests by which two tables are compared
/// without sending them.
class RecordTable {
 public:
  static constexpr size_t kBuckets = 128;

  struct Held {
    InstanceRecord record;
    Instant changed;
  };

  void Put(const InstanceRecord& record, Instant now);

  /// @return nullptr when there is none.
  const Held* Find(const std::string& instance) const;

  /// Removes records of instances dead or gone for longer than `age`.
  /// @return whether there were any.
  bool Forget(Instant now, Duration age);

  /// Removes all records of a failure domain.
  void ForgetDomain(const std::string& failure_domain);

  const std::map<std::string, Held>& All() const { return records_; }

  std::vector<Digest> BucketDigests() const;

  /// @return the records in buckets whose digest differs from the other's.
  std::vector<InstanceRecord> Differing(const std::vector<Digest>& other) const;

 private:
  void Toggle(const InstanceRecord& record);

  std::map<std::string, Held> records_;
  std::array<Digest, kBuckets> buckets_{};
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_INTERNAL_RECORD_TABLE_H_
