#include "tests/harness/network_lock.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>

namespace hibiscusglade {

NetworkLock::NetworkLock(const std::string& network) {
  const std::string path = std::filesystem::temp_directory_path() /
                           ("hibiscusglade-network-" + network + ".lock");
  // The programs that a test starts must not hold it.
  file_ = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
  int result = file_ < 0 ? -1 : flock(file_, LOCK_EX);
  while (result < 0 && errno == EINTR) result = flock(file_, LOCK_EX);
  if (result < 0) std::perror(path.c_str());
}

NetworkLock::~NetworkLock() {
  if (file_ >= 0) close(file_);
}

}  // namespace hibiscusglade
