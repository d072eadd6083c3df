#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "limits/tests/limit_world.h"

namespace hibiscusglade {
namespace {

/// Any load, with messages lost, and daemons killed, frozen and cut off.
RC_GTEST_PROP(LimitProperty, NoWindowHoldsMoreThanTheRuleAllows, ()) {
  WorldShape shape;
  shape.daemons = *rc::gen::inRange(4U, 24U);
  shape.loss = *rc::gen::element(0.0, 0.02, 0.1);
  shape.delay = *rc::gen::element<Duration>(5ms, 30ms, 100ms);
  shape.seed = *rc::gen::arbitrary<uint64_t>();
  CustomerLoad load;
  load.config.name = "c";
  load.config.rate_per_s = *rc::gen::element(3U, 8U, 30U, 120U, 600U);
  load.config.burst = load.config.rate_per_s * *rc::gen::inRange(0U, 3U);
  load.through = *rc::gen::element(0U, 3U, 9U);
  load.not_run = *rc::gen::element(0.0, 0.3);
  const double usual = 0.62 * load.config.rate_per_s;
  const Duration from = std::chrono::milliseconds(*rc::gen::inRange(0, 6000));
  const double times = *rc::gen::element(1.0, 3.0, 7.5);
  load.rate = [=](Duration now) {
    return now >= from && now < from + 6s ? usual * times : usual;
  };
  LimitWorld world(shape, {load});
  const auto faults = *rc::gen::inRange(0, 6);
  for (int i = 0; i < faults; ++i) {
    world.RunUntil(world.Now() +
                   std::chrono::milliseconds(*rc::gen::inRange(0, 3000)));
    const bool coordinator = *rc::gen::arbitrary<bool>();
    const uint32_t daemon = coordinator
                                ? world.CoordinatorOf(*rc::gen::inRange(0U, 3U))
                                : *rc::gen::inRange(0U, 3 * shape.daemons);
    const Duration time =
        std::chrono::milliseconds(*rc::gen::inRange(100, 5000));
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        world.Kill(daemon, time);
        break;
      case 1:
        world.Freeze(daemon, time);
        break;
      default:
        world.Cut(daemon, time);
    }
  }
  world.RunUntil(world.Now() + 10s);
  RC_ASSERT(static_cast<double>(world.WorstWindow(0)) <=
            LimitWorld::Bound(load.config));
}

}  // namespace
}  // namespace hibiscusglade
