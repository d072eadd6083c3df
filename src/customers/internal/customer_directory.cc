#include "customers/customer_directory.h"

#include <algorithm>

namespace hibiscusglade {

CustomerDirectory::CustomerDirectory(const ConfigDocument& document) {
  for (const auto& [name, customer] : document.customers) {
    for (const KeyDigest& digest : customer.keys) {
      holders_.emplace_back(digest, &customer);
    }
  }
  std::ranges::sort(holders_, {},
                    [](const auto& holder) { return holder.first; });
}

const CustomerConfig* CustomerDirectory::FindByKey(std::string_view key) const {
  if (key.empty()) return nullptr;
  const KeyDigest digest = KeyDigest::Of(key);
  const auto found = std::ranges::lower_bound(
      holders_, digest, {}, [](const auto& holder) { return holder.first; });
  if (found == holders_.end() || found->first != digest) return nullptr;
  return found->second;
}

}  // namespace hibiscusglade
