#ifndef HIBISCUSGLADE_ADMISSION_TESTS_REPLAY_H_
#define HIBISCUSGLADE_ADMISSION_TESTS_REPLAY_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "admission/admission.h"

namespace hibiscusglade {

/// Requests of one kind, which arrive at fixed intervals.
struct Arrivals {
  std::string request_class;
  Duration service_time{};
  Duration objective{};
  Duration interval{};
  bool begun = false;
  std::string customer;
};

struct Served {
  int asked = 0;
  int started = 0;

  double Share() const { return static_cast<double>(started) / asked; }
};

/// Replays arrivals at one upstream in steps of a millisecond.
class Replay {
 public:
  explicit Replay(const AdmissionConfig& config) {
    admission_->Configure(config, now_);
  }

  void Play(const std::vector<Arrivals>& kinds, Duration length) {
    const Instant end = now_ + length;
    for (; now_ < end; now_ += std::chrono::milliseconds(1)) {
      Finish();
      Apply(admission_->OnTick(now_));
      for (const Arrivals& kind : kinds) {
        if (now_.time_since_epoch() % kind.interval == Duration{}) Ask(kind);
      }
    }
  }

  /// @param name of a class or of a customer.
  const Served& Of(const std::string& name) { return served_[name]; }

 private:
  void Ask(const Arrivals& kind) {
    SlotRequest request{++last_, kind.request_class, "caller",
                        now_ + std::chrono::seconds(2), now_ + kind.objective};
    request.begun = kind.begun;
    request.customer = kind.customer;
    kinds_[last_] = kind;
    ++served_[kind.request_class].asked;
    ++served_[kind.customer].asked;
    Apply(admission_->OnRequest(request, now_));
  }

  void Apply(const AdmissionEffects& effects) {
    for (SlotRequestId id : effects.admitted) {
      ++served_[kinds_[id].request_class].started;
      ++served_[kinds_[id].customer].started;
      ends_.emplace(now_ + kinds_[id].service_time, id);
    }
  }

  void Finish() {
    while (!ends_.empty() && ends_.begin()->first <= now_) {
      const SlotRequestId id = ends_.begin()->second;
      ends_.erase(ends_.begin());
      Apply(admission_->OnFinished(id, kinds_[id].service_time, now_));
    }
  }

  Instant now_ = Instant(std::chrono::seconds(1000));
  SlotRequestId last_ = 0;
  std::map<SlotRequestId, Arrivals> kinds_;
  std::multimap<Instant, SlotRequestId> ends_;
  std::map<std::string, Served> served_;
  std::unique_ptr<Admission> admission_ = MakeAdmission();
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ADMISSION_TESTS_REPLAY_H_
