#ifndef HIBISCUSGLADE_MEMBERSHIP_INTERNAL_SILENT_INSTANCES_H_
#define HIBISCUSGLADE_MEMBERSHIP_INTERNAL_SILENT_INSTANCES_H_

#include <set>
#include <string>
#include <vector>

namespace hibiscusglade {

/// Instances of the own domain that didn't answer, nor through helpers, since
/// they were last heard from.
class SilentInstances {
 public:
  /// @return whether the instance was not among them before.
  bool Add(const std::string& instance);

  /// @return whether the instance was among them.
  bool Remove(const std::string& instance);

  /// @return the next few to probe, in turn.
  std::vector<std::string> NextToProbe();

  bool Empty() const { return instances_.empty(); }
  const std::set<std::string>& All() const { return instances_; }

 private:
  std::set<std::string> instances_;
  std::string last_probed_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_INTERNAL_SILENT_INSTANCES_H_
