#include "membership/internal/silent_instances.h"

#include <algorithm>

namespace hibiscusglade {
namespace {

/// Of the instances left out of the view, so many are probed at a time.
constexpr size_t kSilentProbes = 3;

}  // namespace

bool SilentInstances::Add(const std::string& instance) {
  return instances_.insert(instance).second;
}

bool SilentInstances::Remove(const std::string& instance) {
  return instances_.erase(instance) != 0;
}

std::vector<std::string> SilentInstances::NextToProbe() {
  std::vector<std::string> chosen;
  while (chosen.size() < std::min(kSilentProbes, instances_.size())) {
    auto next = instances_.upper_bound(last_probed_);
    if (next == instances_.end()) next = instances_.begin();
    last_probed_ = *next;
    chosen.push_back(*next);
  }
  return chosen;
}

}  // namespace hibiscusglade
