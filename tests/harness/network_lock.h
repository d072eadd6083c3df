#ifndef HIBISCUSGLADE_TESTS_HARNESS_NETWORK_LOCK_H_
#define HIBISCUSGLADE_TESTS_HARNESS_NETWORK_LOCK_H_

#include <string>

namespace hibiscusglade {

/// Keeps other test programs from using the same addresses while it exists. It
/// ends with the program, however that ends.
class NetworkLock {
 public:
  /// Waits until no other program holds the network.
  /// @param network names the addresses.
  explicit NetworkLock(const std::string& network);
  ~NetworkLock();
  NetworkLock(const NetworkLock&) = delete;
  NetworkLock& operator=(const NetworkLock&) = delete;

 private:
  int file_ = -1;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_TESTS_HARNESS_NETWORK_LOCK_H_
