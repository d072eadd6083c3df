#include "routing/share_picker.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

class ASplitRoute : public testing::Test {
 protected:
  ASplitRoute() {
    route_.name = "orders";
    route_.shares = {{"old", 90}, {"new", 10}};
  }

  std::map<std::string, int> Draw(SharePicker& picker, int requests) {
    std::map<std::string, int> drawn;
    for (int i = 0; i < requests; ++i) ++drawn[picker.PickService(route_)];
    return drawn;
  }

  RouteConfig route_;
};

class ASplitRouteAtOneEntry : public ASplitRoute {};

TEST_F(ASplitRouteAtOneEntry, KeepsItsWeightsOverEveryStretch) {
  SharePicker picker(7);
  for (int stretch = 0; stretch < 20; ++stretch) {
    EXPECT_NEAR(Draw(picker, 100)["new"], 10, 1);
  }
}

TEST_F(ASplitRouteAtOneEntry, SendsNothingToAServiceWithoutWeight) {
  route_.shares = {{"old", 5}, {"new", 0}};
  SharePicker picker(7);
  EXPECT_EQ(Draw(picker, 50)["new"], 0);
}

TEST_F(ASplitRouteAtOneEntry, FollowsNewWeightsAtOnce) {
  SharePicker picker(7);
  Draw(picker, 55);
  route_.shares = {{"old", 0}, {"new", 1}};
  EXPECT_EQ(Draw(picker, 10)["old"], 0);
}

class ASplitRouteAtManyEntries : public ASplitRoute {};

TEST_F(ASplitRouteAtManyEntries, KeepsItsWeightsThoughEachSeesFewRequests) {
  int sent_to_new = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    SharePicker picker(seed);
    sent_to_new += Draw(picker, 5)["new"];
  }
  EXPECT_NEAR(sent_to_new, 100, 35);
}

}  // namespace
}  // namespace hibiscusglade
