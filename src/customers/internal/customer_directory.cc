#include "customers/customer_directory.h"

#include <algorithm>

namespace hibiscusglade {

CustomerDirectory::CustomerDirectory(const ConfigDocument& document) {
  size_t keys = 0;
  for (const auto& [name, customer] : document.customers) {
    customers_.push_back(&customer);
    keys += customer.keys.size();
  }
  customers_.shrink_to_fit();
  places_.reserve(keys);
  for (uint32_t i = 0; i < customers_.size(); ++i) {
    for (uint32_t key = 0; key < customers_[i]->keys.size(); ++key) {
      places_.push_back({i, key});
    }
  }
  std::ranges::sort(places_, {},
                    [this](const KeyPlace& place) { return DigestAt(place); });
}

const CustomerConfig* CustomerDirectory::FindByKey(std::string_view key) const {
  if (key.empty()) return nullptr;
  const KeyDigest digest = KeyDigest::Of(key);
  const auto found = std::ranges::lower_bound(
      places_, digest, {},
      [this](const KeyPlace& place) { return DigestAt(place); });
  if (found == places_.end() || DigestAt(*found) != digest) return nullptr;
  return customers_[found->customer];
}

}  // namespace hibiscusglade
