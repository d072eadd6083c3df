#ifndef HIBISCUSGLADE_CUSTOMERS_CUSTOMER_DIRECTORY_H_
#define HIBISCUSGLADE_CUSTOMERS_CUSTOMER_DIRECTORY_H_

#include <cstdint>
#include <string_view>
#include <utility>
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
  /// Sorted by digest.
  std::vector<std::pair<KeyDigest, const CustomerConfig*>> holders_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CUSTOMERS_CUSTOMER_DIRECTORY_H_
