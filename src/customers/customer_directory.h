#ifndef HIBISCUSGLADE_CUSTOMERS_CUSTOMER_DIRECTORY_H_
#define HIBISCUSGLADE_CUSTOMERS_CUSTOMER_DIRECTORY_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/key_digest.h"
#include "versions/types/config_document.h"

namespace hibiscusglade {

/// Finds the customer that holds a key. Built once for a version, whose
/// document must outlive it.
class CustomerDirectory {
 public:
  explicit CustomerDirectory(const ConfigDocument& document);

  /// Compares digests only, so that the time of a look-up tells nothing about
  /// the keys that exist.
  /// @return nullptr when no customer holds the key.
  const CustomerConfig* FindByKey(std::string_view key) const;

 private:
  /// Where a key's digest stands in the document. A copy of the digest would
  /// take three times the memory.
  struct KeyPlace {
    uint32_t customer = 0;  ///< Position in `customers_`.
    uint32_t key = 0;       ///< Position among the customer's keys.
  };

  const KeyDigest& DigestAt(const KeyPlace& place) const {
    return customers_[place.customer]->keys[place.key];
  }

  std::vector<const CustomerConfig*> customers_;
  std::vector<KeyPlace> places_;  ///< Sorted by digest.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CUSTOMERS_CUSTOMER_DIRECTORY_H_
