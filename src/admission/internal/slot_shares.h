#ifndef HIBISCUSGLADE_ADMISSION_INTERNAL_SLOT_SHARES_H_
#define HIBISCUSGLADE_ADMISSION_INTERNAL_SLOT_SHARES_H_

#include <cstdint>
#include <map>
#include <string>

#include "versions/types/config_document.h"

namespace hibiscusglade {

/// Slots that one class may rely on and may not exceed.
struct SlotShare {
  uint32_t reserved = 0;
  uint32_t most = 0;

  friend bool operator==(const SlotShare&, const SlotShare&) = default;
};

/// Divides the slots of one upstream between classes and counts what runs.
class SlotShares {
 public:
  /// Recomputes the shares. A class with a reservation gets at least one slot,
  /// in order of priority, as long as one slot stays free for all.
  void Divide(uint32_t slots,
              const std::map<std::string, ClassConfig>& classes);

  /// @return whether a request of the class may take a slot now.
  bool MayRun(const std::string& request_class) const;

  void OnStarted(const std::string& request_class);
  void OnEnded(const std::string& request_class);

  uint32_t Slots() const { return slots_; }
  uint32_t Running() const { return running_; }
  uint32_t RunningOf(const std::string& request_class) const;

  /// @return the share of a class; an unknown class reserves nothing.
  SlotShare ShareOf(const std::string& request_class) const;

 private:
  uint32_t ReservedForOthers(const std::string& request_class) const;

  uint32_t slots_ = 0;
  uint32_t running_ = 0;
  std::map<std::string, SlotShare> shares_;
  std::map<std::string, uint32_t> running_of_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ADMISSION_INTERNAL_SLOT_SHARES_H_
