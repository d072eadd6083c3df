#include <gtest/gtest.h>

#include "admission/tests/replay.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;

/// Six slots of an intake service that are too few: uploads, the least urgent,
/// holds, and calls of searches that hold a slot elsewhere.
class AnIntakeUpstream : public testing::Test, public Replay {
 protected:
  AnIntakeUpstream() : Replay(Config()) {}

  static AdmissionConfig Config() {
    AdmissionConfig config{6, 64, {}, {}};
    config.classes["upload"] = {"upload", 0, 100, milliseconds(1200), 7};
    config.classes["hold"] = {"hold", 0, 100, milliseconds(300), 9};
    config.classes["check"] = {"check", 0, 100, milliseconds(120), 0};
    return config;
  }
};

const Arrivals kUploads{"upload", milliseconds(120), milliseconds(1200),
                        milliseconds(20)};
const Arrivals kHolds{"hold", milliseconds(80), milliseconds(300),
                      milliseconds(50)};
const Arrivals kChecks{"check", milliseconds(25), milliseconds(120),
                       milliseconds(8), true};

TEST_F(AnIntakeUpstream, ServesCallsOfBegunWorkBeforeMoreUrgentNewWork) {
  // 6 + 1.6 + 3.1 slots are asked for, and 1.2 are left to uploads.
  Play({kUploads, kHolds, kChecks}, std::chrono::seconds(10));
  EXPECT_GT(Of("check").Share(), 0.97);
  EXPECT_GT(Of("hold").Share(), 0.9);
  EXPECT_GT(Of("upload").Share(), 0.19);
}

TEST_F(AnIntakeUpstream, LeavesAQuarterOfTheShareOfAllToTheLeastUrgent) {
  Arrivals many_checks = kChecks;
  many_checks.interval = milliseconds(3);
  Play({kUploads, kHolds, many_checks}, std::chrono::seconds(10));
  const double all = Of("").Share();
  for (const char* name : {"upload", "hold", "check"}) {
    EXPECT_GT(Of(name).Share(), 0.22 * all) << name;
  }
  EXPECT_GT(Of("check").Share(), 0.5);
}

TEST_F(AnIntakeUpstream, RefusesNothingWhileThereIsRoom) {
  Arrivals few_uploads = kUploads;
  few_uploads.interval = milliseconds(200);
  Play({few_uploads, kHolds, kChecks}, std::chrono::seconds(10));
  for (const char* name : {"upload", "hold", "check"}) {
    EXPECT_GE(Of(name).started + 1, Of(name).asked) << name;
  }
}

}  // namespace
}  // namespace hibiscusglade
