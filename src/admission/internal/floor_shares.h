#ifndef HIBISCUSGLADE_ADMISSION_INTERNAL_FLOOR_SHARES_H_
#define HIBISCUSGLADE_ADMISSION_INTERNAL_FLOOR_SHARES_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"

namespace hibiscusglade {

/// Counts what was asked and what was started in the last seconds, to tell
/// which classes and priorities get too little. Load: more urgent work than an
/// upstream has slots, for seconds; by order alone the least urgent would get
/// nothing. State: the classes and priorities of the last seconds.
class FloorShares {
 public:
  void OnAsked(const std::string& request_class, uint32_t priority,
               Instant now);
  void OnStarted(const std::string& request_class, uint32_t priority);

  /// @return whether the share that is started of what was asked in the class
  /// at this priority is less than a quarter of the share of all.
  bool IsBelowFloor(const std::string& request_class, uint32_t priority) const;

 private:
  struct Counts {
    double asked = 0;
    double started = 0;
  };

  /// Lets the past count less.
  void Age(Instant now);

  /// By class and priority.
  std::map<std::string, std::map<uint32_t, Counts>> counts_;
  Counts all_;
  Instant aged_at_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ADMISSION_INTERNAL_FLOOR_SHARES_H_
