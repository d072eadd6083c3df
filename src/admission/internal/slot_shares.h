#ifndef HIBISCUSGLADE_ADMISSION_INTERNAL_SLOT_SHARES_H_
#define HIBISCUSGLADE_ADMISSION_INTERNAL_SLOT_SHARES_H_

#include <cstdint>
#include <map>
#include <string>

#include "versions/types/config_document.h"

namespace hibiscusglade {

/// Slots that one class has reserved, and the most it may use.
struct SlotShare {
  uint32_t reserved = 0;
  uint32_t limit = 0;

  friend bool operator==(const SlotShare&, const SlotShare&) = default;
};

/// Divides the slots of one upstream between classes and counts running
/// requests.
class SlotShares {
 public:
  /// Recomputes the shares. Classes get their reservations in order of
  /// priority, at least one slot each, until only one unreserved slot is left;
  /// that one stays available to all classes.
  void Divide(uint32_t slots,
              const std::map<std::string, ClassConfig>& classes);

  /// @return whether a request of the class may take a slot now.
  bool MayRun(const std::string& request_class) const;

  void OnStarted(const std::string& request_class);
  void OnEnded(const std::string& request_class);

  uint32_t Slots() const { return slots_; }
  uint32_t Running() const { return running_; }
  uint32_t RunningOf(const std::string& request_class) const;

  /// @return the share of a class; an unknown class has no reservation and no
  /// limit but the number of slots.
  SlotShare ShareOf(const std::string& request_class) const;

 private:
  uint32_t ReservedForOthers(const std::string& request_class) const;

  uint32_t slots_ = 0;
  uint32_t running_ = 0;
  std::map<std::string, SlotShare> shares_;
  std::map<std::string, uint32_t> running_by_class_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ADMISSION_INTERNAL_SLOT_SHARES_H_
