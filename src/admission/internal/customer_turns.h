#ifndef HIBISCUSGLADE_ADMISSION_INTERNAL_CUSTOMER_TURNS_H_
#define HIBISCUSGLADE_ADMISSION_INTERNAL_CUSTOMER_TURNS_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace hibiscusglade {

/// Customers of one class take turns while requests of the class queue: one
/// request of each that has any, a round after the other (deficit round robin;
/// requests of a class cost the same). Load: one customer sends many times its
/// usual; by order of arrival it would have nearly all slots. State: the
/// customers served in the latest round, forgotten when the queue ends.
class CustomerTurns {
 public:
  /// @return the round in which the customer's next request is due.
  uint64_t RoundOf(const std::string& customer) const {
    const auto found = next_.find(customer);
    return found == next_.end() ? current_ : std::max(current_, found->second);
  }

  /// A request of the customer took a slot.
  void OnStarted(const std::string& customer) {
    const uint64_t round = RoundOf(customer);
    if (round > current_) {
      current_ = round;
      std::erase_if(next_,
                    [round](const auto& item) { return item.second <= round; });
    }
    next_[customer] = round + 1;
  }

  size_t Customers() const { return next_.size(); }

 private:
  uint64_t current_ = 0;
  std::map<std::string, uint64_t> next_;  ///< Only those after the current one.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ADMISSION_INTERNAL_CUSTOMER_TURNS_H_
