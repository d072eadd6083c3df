#include "control/internal/effect_waiter.h"

#include <future>
#include <memory>

namespace hibiscusglade {

bool EffectWaiter::RunAndWait(std::function<void(LeaveRecorder::Done)> work) {
  auto promise = std::make_shared<std::promise<bool>>();
  auto future = promise->get_future();
  executor_.Post([this, promise, work = std::move(work)] {
    work([this, promise](bool recorded) {
      waiting_.emplace_back(
          [promise, recorded] { promise->set_value(recorded); });
    });
  });
  return future.wait_for(timeout_) == std::future_status::ready && future.get();
}

void EffectWaiter::OnPublished(LocalUpstreamListener& listener) {
  for (std::function<void()>& done : std::exchange(waiting_, {})) {
    listener.AfterUpdates(std::move(done));
  }
}

}  // namespace hibiscusglade
