#ifndef HIBISCUSGLADE_DISTRIBUTION_TESTS_ASK_DIRECTORIES_H_
#define HIBISCUSGLADE_DISTRIBUTION_TESTS_ASK_DIRECTORIES_H_

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "distribution/ask_directory.h"

namespace hibiscusglade {

/// Knows nobody.
class EmptyAskDirectory : public AskDirectory {
 public:
  std::string Next(AskScope) override { return ""; }
};

/// Knows a fixed list of addresses for each scope.
class FixedAskDirectory : public AskDirectory {
 public:
  using Addresses = std::map<AskScope, std::vector<std::string>>;

  explicit FixedAskDirectory(Addresses addresses)
      : addresses_(std::move(addresses)) {}

  std::string Next(AskScope scope) override {
    const std::vector<std::string>& addresses = addresses_[scope];
    if (addresses.empty()) return "";
    return addresses[turns_[scope]++ % addresses.size()];
  }

 private:
  Addresses addresses_;
  std::map<AskScope, size_t> turns_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_DISTRIBUTION_TESTS_ASK_DIRECTORIES_H_
