#include "base/stop_signal.h"

#include <gtest/gtest.h>
#include <pthread.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <thread>

namespace hibiscusglade {
namespace {

void Ignore(int) {}

class AProcessThatWaits : public testing::Test {
 protected:
  AProcessThatWaits() {
    BlockStopSignals();
    // A handler without SA_RESTART interrupts the wait with EINTR, as pausing
    // and resuming the process does.
    struct sigaction action {};
    action.sa_handler = &Ignore;
    sigaction(SIGUSR1, &action, nullptr);
    waiter_ = std::thread([this] {
      request_ = WaitForSignal(-1);
      returned_ = true;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  ~AProcessThatWaits() override { waiter_.join(); }

  void SendToWaiter(int signal) {
    pthread_kill(waiter_.native_handle(), signal);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }

  std::atomic<bool> returned_{false};
  std::atomic<SignalRequest> request_{SignalRequest::kNone};
  std::thread waiter_;
};

TEST_F(AProcessThatWaits, GoesOnWaitingAfterAnInterruption) {
  SendToWaiter(SIGUSR1);
  EXPECT_FALSE(returned_);
  SendToWaiter(SIGTERM);
  EXPECT_EQ(request_, SignalRequest::kStop);
}

TEST_F(AProcessThatWaits, DistinguishesAReloadFromAStop) {
  SendToWaiter(SIGHUP);
  EXPECT_TRUE(returned_);
  EXPECT_EQ(request_, SignalRequest::kReload);
}

}  // namespace
}  // namespace hibiscusglade
