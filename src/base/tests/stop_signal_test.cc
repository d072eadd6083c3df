#include "base/stop_signal.h"

#include <gtest/gtest.h>
#include <pthread.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <functional>
#include <iterator>
#include <string>
#include <thread>

namespace hibiscusglade {
namespace {

using std::chrono::seconds;
using std::chrono::steady_clock;

std::atomic<int> handled_signals{0};

void CountSignal(int) { ++handled_signals; }

/// @return whether a thread of this process is blocked in a system call.
bool IsAsleep(pid_t thread) {
  std::ifstream file("/proc/self/task/" + std::to_string(thread) + "/stat");
  const std::string stat{std::istreambuf_iterator<char>(file), {}};
  const size_t name_end = stat.rfind(')');
  return name_end != std::string::npos && stat.size() > name_end + 2 &&
         stat[name_end + 2] == 'S';
}

class AProcessThatWaits : public testing::Test {
 protected:
  AProcessThatWaits() {
    BlockStopSignals();
    handled_signals = 0;
    // A handler without SA_RESTART interrupts the wait with EINTR, as pausing
    // and resuming the process does.
    struct sigaction action {};
    action.sa_handler = &CountSignal;
    sigaction(SIGUSR1, &action, nullptr);
    waiter_ = std::thread([this] {
      thread_ = gettid();
      request_ = WaitForSignal(-1);
      returned_ = true;
    });
    EXPECT_TRUE(Becomes([this] { return IsAsleep(thread_); }));
  }
  ~AProcessThatWaits() override {
    if (waiter_.joinable()) waiter_.join();
  }

  /// @return whether a condition becomes true within ten seconds.
  static bool Becomes(const std::function<bool()>& condition) {
    const auto end = steady_clock::now() + seconds(10);
    while (!condition() && steady_clock::now() < end) std::this_thread::yield();
    return condition();
  }

  void SendToWaiter(int signal) {
    pthread_kill(waiter_.native_handle(), signal);
  }

  std::atomic<pid_t> thread_{0};
  std::atomic<bool> returned_{false};
  std::atomic<SignalRequest> request_{SignalRequest::kNone};
  std::thread waiter_;
};

TEST_F(AProcessThatWaits, GoesOnWaitingAfterAnInterruption) {
  SendToWaiter(SIGUSR1);
  EXPECT_TRUE(Becomes([] { return handled_signals == 1; }));
  EXPECT_TRUE(Becomes([this] { return returned_ || IsAsleep(thread_); }));
  EXPECT_FALSE(returned_);
  SendToWaiter(SIGTERM);
  waiter_.join();
  EXPECT_EQ(request_, SignalRequest::kStop);
}

TEST_F(AProcessThatWaits, DistinguishesAReloadFromAStop) {
  SendToWaiter(SIGHUP);
  waiter_.join();
  EXPECT_TRUE(returned_);
  EXPECT_EQ(request_, SignalRequest::kReload);
}

}  // namespace
}  // namespace hibiscusglade
