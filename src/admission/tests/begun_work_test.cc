#include <gtest/gtest.h>

#include <map>

#include "admission/admission.h"
#include "admission/admission_result_codes.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

struct Kind {
  std::string request_class;
  Duration service_time{};
  Duration objective{};
  Duration interval{};  ///< Between two arrivals.
  bool begun = false;
};

struct Served {
  int asked = 0;
  int started = 0;

  double Share() const { return static_cast<double>(started) / asked; }
};

/// Replays arrivals at fixed intervals at an upstream of six slots in steps of
/// a millisecond. The load is that of an intake service whose slots are short:
/// uploads, and calls of searches that hold a slot elsewhere.
class AnIntakeUpstream : public testing::Test {
 protected:
  AnIntakeUpstream() {
    AdmissionConfig config{6, 64, {}, {}};
    config.classes["upload"] = {"upload", 0, 100, milliseconds(1200), 7};
    config.classes["hold"] = {"hold", 0, 100, milliseconds(300), 9};
    config.classes["check"] = {"check", 0, 100, milliseconds(120), 0};
    admission_->Configure(config, now_);
  }

  void Play(const std::vector<Kind>& kinds, Duration length) {
    const Instant end = now_ + length;
    for (; now_ < end; now_ += milliseconds(1)) {
      Finish();
      Start(admission_->OnTick(now_));
      for (const Kind& kind : kinds) {
        if (now_.time_since_epoch() % kind.interval == Duration{}) Ask(kind);
      }
    }
  }

  void Ask(const Kind& kind) {
    SlotRequest request{++last_, kind.request_class, "caller",
                        now_ + milliseconds(2000), now_ + kind.objective};
    request.begun = kind.begun;
    kinds_[last_] = kind;
    ++served_[kind.request_class].asked;
    Start(admission_->OnRequest(request, now_));
  }

  void Start(const AdmissionEffects& effects) {
    for (SlotRequestId id : effects.admitted) {
      ++served_[kinds_[id].request_class].started;
      ends_.emplace(now_ + kinds_[id].service_time, id);
    }
  }

  void Finish() {
    while (!ends_.empty() && ends_.begin()->first <= now_) {
      const SlotRequestId id = ends_.begin()->second;
      ends_.erase(ends_.begin());
      Start(admission_->OnFinished(id, kinds_[id].service_time, now_));
    }
  }

  Instant now_ = Instant(std::chrono::seconds(1000));
  SlotRequestId last_ = 0;
  std::map<SlotRequestId, Kind> kinds_;
  std::multimap<Instant, SlotRequestId> ends_;
  std::map<std::string, Served> served_;
  std::unique_ptr<Admission> admission_ = MakeAdmission();
};

const Kind kUpload{"upload", milliseconds(120), milliseconds(1200),
                   milliseconds(20), false};
const Kind kHold{"hold", milliseconds(80), milliseconds(300), milliseconds(50),
                 false};
const Kind kCheck{"check", milliseconds(25), milliseconds(120), milliseconds(8),
                  true};

TEST_F(AnIntakeUpstream, ServesCallsOfBegunWorkBeforeMoreUrgentNewWork) {
  // 6 + 1.6 + 3.1 slots are asked for, and 1.2 are left to uploads.
  Play({kUpload, kHold, kCheck}, std::chrono::seconds(10));
  EXPECT_GT(served_["check"].Share(), 0.97);
  EXPECT_GT(served_["hold"].Share(), 0.9);
  EXPECT_GT(served_["upload"].Share(), 0.19);
}

TEST_F(AnIntakeUpstream, LeavesAQuarterOfTheShareOfAllToTheLeastUrgent) {
  Kind many_checks = kCheck;
  many_checks.interval = milliseconds(3);
  Play({kUpload, kHold, many_checks}, std::chrono::seconds(10));
  int asked = 0;
  int started = 0;
  for (const auto& [name, served] : served_) {
    asked += served.asked;
    started += served.started;
  }
  const double all = static_cast<double>(started) / asked;
  for (const auto& [name, served] : served_) {
    EXPECT_GT(served.Share(), 0.22 * all) << name;
  }
  EXPECT_GT(served_["check"].Share(), 0.5);
}

TEST_F(AnIntakeUpstream, RefusesNothingWhileThereIsRoom) {
  Kind few_uploads = kUpload;
  few_uploads.interval = milliseconds(200);
  Play({few_uploads, kHold, kCheck}, std::chrono::seconds(10));
  for (const auto& [name, served] : served_) {
    EXPECT_GE(served.started + 1, served.asked) << name;
  }
}

}  // namespace
}  // namespace hibiscusglade
