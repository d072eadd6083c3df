#include <gtest/gtest.h>

#include "limits/tests/limit_world.h"

namespace hibiscusglade {
namespace {

CustomerConfig Customer(uint32_t rate) {
  CustomerConfig customer;
  customer.name = "customer-" + std::to_string(rate);
  customer.rate_per_s = rate;
  customer.burst = rate;
  return customer;
}

std::function<double(Duration)> Steady(double rate) {
  return [rate](Duration) { return rate; };
}

/// Usual until 8 s, then 7.5 times as much for 6 s.
std::function<double(Duration)> Surge(double usual) {
  return [usual](Duration now) {
    return now >= 8s && now < 14s ? 7.5 * usual : usual;
  };
}

void ExpectWithinBound(const LimitWorld& world, const CustomerConfig& customer,
                       size_t load = 0, Duration from = {}) {
  EXPECT_LE(world.WorstWindow(load, from), LimitWorld::Bound(customer))
      << customer.name << " of " << world.OutcomeOf(load).ran.size() << " run, "
      << world.OutcomeOf(load).refused << " refused";
}

class LimitLoad : public testing::TestWithParam<uint32_t> {};

TEST_P(LimitLoad, BelowSevenTenthsOfTheLimitFewerThanOneInAThousandIsRefused) {
  const CustomerConfig customer = Customer(GetParam());
  LimitWorld world({}, {{customer, Steady(0.65 * GetParam())}});
  world.RunUntil(std::max<Duration>(20s, 20000s / GetParam()));
  const auto& outcome = world.OutcomeOf(0);
  EXPECT_LT(static_cast<double>(outcome.refused),
            0.001 * static_cast<double>(outcome.ran.size()))
      << outcome.refused_alone << " alone";
  RecordProperty("refused", static_cast<int>(outcome.refused));
  RecordProperty("ran", static_cast<int>(outcome.ran.size()));
}

TEST_P(LimitLoad, BelowTheLimitNobodyIsRefusedThroughThreeDaemonsEither) {
  LimitWorld world({}, {{Customer(GetParam()), Steady(0.6 * GetParam()), 3}});
  world.RunUntil(std::max<Duration>(20s, 20000s / GetParam()));
  const auto& outcome = world.OutcomeOf(0);
  EXPECT_LT(static_cast<double>(outcome.refused),
            0.001 * static_cast<double>(outcome.ran.size()))
      << outcome.refused_alone << " alone";
}

TEST_P(LimitLoad, ASurgeThroughAllDaemonsGetsTheLimitAndNoMore) {
  const CustomerConfig customer = Customer(GetParam());
  LimitWorld world({}, {{customer, Surge(0.62 * GetParam())}});
  world.RunUntil(20s);
  ExpectWithinBound(world, customer);
  EXPECT_GE(world.WorstWindow(0), 5 * GetParam());
}

TEST_P(LimitLoad, ASurgeThroughThreeDaemonsGetsTheLimitAndNoMore) {
  const CustomerConfig customer = Customer(GetParam());
  LimitWorld world({}, {{customer, Surge(0.62 * GetParam()), 3}});
  world.RunUntil(20s);
  ExpectWithinBound(world, customer);
  EXPECT_GE(world.WorstWindow(0), 5 * GetParam());
}

TEST_P(LimitLoad, ACoordinatorThatIsKilledInASurgeIsReplacedWithinTheLimit) {
  const CustomerConfig customer = Customer(GetParam());
  LimitWorld world({}, {{customer, Surge(0.62 * GetParam())}});
  world.RunUntil(9s);
  world.Kill(world.CoordinatorOf(0), 4s);
  world.RunUntil(20s);
  ExpectWithinBound(world, customer);
}

TEST_P(LimitLoad, ACoordinatorThatFreezesAsASurgeBeginsHoldsTheLimit) {
  const CustomerConfig customer = Customer(GetParam());
  LimitWorld world({}, {{customer, Surge(0.62 * GetParam())}});
  world.RunUntil(7900ms);
  world.Freeze(world.CoordinatorOf(1), 3s);
  world.RunUntil(20s);
  ExpectWithinBound(world, customer);
}

TEST_P(LimitLoad, AllCoordinatorsThatFreezeAsASurgeBeginsHoldTheLimit) {
  const CustomerConfig customer = Customer(GetParam());
  LimitWorld world({}, {{customer, Surge(0.62 * GetParam())}});
  world.RunUntil(7900ms);
  for (uint32_t i = 0; i < 3; ++i) world.Freeze(world.CoordinatorOf(i), 3s);
  world.RunUntil(20s);
  ExpectWithinBound(world, customer);
}

TEST_P(LimitLoad, AllCoordinatorsKilledInASurgeHoldTheLimit) {
  const CustomerConfig customer = Customer(GetParam());
  LimitWorld world({}, {{customer, Surge(0.62 * GetParam())}});
  world.RunUntil(9s);
  for (uint32_t i = 0; i < 3; ++i) world.Kill(world.CoordinatorOf(i), 1s);
  world.RunUntil(20s);
  ExpectWithinBound(world, customer);
}

TEST_P(LimitLoad, AllDaemonsKilledInASurgeHoldTheLimitOnceTheyAreBack) {
  const CustomerConfig customer = Customer(GetParam());
  LimitWorld world({}, {{customer, Surge(0.62 * GetParam())}});
  world.RunUntil(9s);
  for (uint32_t i = 0; i < 66; ++i) world.Kill(i, 500ms);
  world.RunUntil(20s);
  ExpectWithinBound(world, customer, 0, 9500ms);
}

TEST_P(LimitLoad, ALimitFarBelowDemandBindsAtOnce) {
  LimitWorld world({}, {{Customer(GetParam()), Steady(0.62 * GetParam())}});
  world.RunUntil(8s);
  CustomerConfig lower = Customer(GetParam());
  lower.rate_per_s = std::max(1U, GetParam() / 10);
  lower.burst = lower.rate_per_s;
  world.SetLimit(0, lower.rate_per_s, lower.burst);
  world.RunUntil(20s);
  ExpectWithinBound(world, lower, 0, 8s + 10ms);
}

TEST_P(LimitLoad, WhatOwnersDidNotRunIsGivenBack) {
  const CustomerConfig customer = Customer(GetParam());
  LimitWorld world({}, {{customer, Steady(1.2 * GetParam()), 0, 0.5}});
  world.RunUntil(std::max<Duration>(20s, 4000s / GetParam()));
  const auto& outcome = world.OutcomeOf(0);
  EXPECT_LT(static_cast<double>(outcome.refused),
            0.01 * static_cast<double>(outcome.ran.size()));
  ExpectWithinBound(world, customer);
}

INSTANTIATE_TEST_SUITE_P(Sizes, LimitLoad,
                         testing::Values(4U, 6U, 30U, 100U, 300U, 1440U));

TEST(LimitLoadOfMany, SeventyFiveCustomersCostLittle) {
  std::vector<CustomerLoad> loads;
  for (uint32_t i = 1; i <= 75; ++i) {
    const auto rate = static_cast<uint32_t>(1.6 * 408 / i);
    CustomerConfig customer = Customer(rate);
    customer.name = "customer-" + std::to_string(i);
    loads.push_back({customer, Steady(408.0 / i)});
  }
  LimitWorld world({}, loads);
  world.RunUntil(10s);
  uint64_t ran = 0, refused = 0;
  for (size_t i = 0; i < loads.size(); ++i) {
    ran += world.OutcomeOf(i).ran.size();
    refused += world.OutcomeOf(i).refused;
  }
  EXPECT_LT(static_cast<double>(refused), 0.001 * static_cast<double>(ran))
      << ran;
  EXPECT_LT(world.BytesPerSecond(), 2000);
  RecordProperty("bytes_per_second", std::to_string(world.BytesPerSecond()));
  RecordProperty("refused", static_cast<int>(refused));
}

}  // namespace
}  // namespace hibiscusglade
