#include "base/stop_signal.h"

#include <csignal>
#include <ctime>

namespace hibiscusglade {
namespace {

sigset_t StopSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

}  // namespace

void BlockStopSignals() {
  sigset_t set = StopSignals();
  sigaddset(&set, SIGPIPE);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

bool WaitForStopSignal(int timeout_ms) {
  sigset_t set = StopSignals();
  if (timeout_ms < 0) return sigwaitinfo(&set, nullptr) > 0;
  timespec timeout{timeout_ms / 1000, (timeout_ms % 1000) * 1000000L};
  return sigtimedwait(&set, nullptr, &timeout) > 0;
}

}  // namespace hibiscusglade
