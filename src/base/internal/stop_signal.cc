#include "base/stop_signal.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <ctime>

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

sigset_t AwaitedSignals() {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  return set;
}

SignalRequest RequestOf(int signal) {
  return signal == SIGHUP ? SignalRequest::kReload : SignalRequest::kStop;
}

}  // namespace

void BlockStopSignals() {
  sigset_t set = AwaitedSignals();
  sigaddset(&set, SIGPIPE);
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

SignalRequest WaitForSignal(int timeout_ms) {
  const sigset_t set = AwaitedSignals();
  const auto deadline = steady_clock::now() + milliseconds(timeout_ms);
  while (true) {
    int signal = 0;
    if (timeout_ms < 0) {
      signal = sigwaitinfo(&set, nullptr);
    } else {
      const auto remaining = std::chrono::ceil<milliseconds>(
          std::max(deadline - steady_clock::now(), steady_clock::duration{}));
      const timespec timeout{remaining.count() / 1000,
                             (remaining.count() % 1000) * 1000000L};
      signal = sigtimedwait(&set, nullptr, &timeout);
    }
    if (signal > 0) return RequestOf(signal);
    if (errno != EINTR) return SignalRequest::kNone;
  }
}

bool WaitForStopSignal(int timeout_ms) {
  const auto deadline = steady_clock::now() + milliseconds(timeout_ms);
  while (true) {
    int remaining_ms = -1;
    if (timeout_ms >= 0) {
      const auto remaining = std::chrono::ceil<milliseconds>(
          std::max(deadline - steady_clock::now(), steady_clock::duration{}));
      remaining_ms = static_cast<int>(remaining.count());
    }
    const SignalRequest request = WaitForSignal(remaining_ms);
    if (request != SignalRequest::kReload) {
      return request == SignalRequest::kStop;
    }
  }
}

}  // namespace hibiscusglade
