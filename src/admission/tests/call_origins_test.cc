#include "admission/call_origins.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

/// An owner of a service of 15 instances beside one of 52. Callers are beside
/// all of them; upstreams of the larger service call with the class "check".
class AnOwnerThatIsCalledByUpstreams : public testing::Test {
 protected:
  void Request(const std::string& request_class) {
    origins_.OnRequest(request_class, ++last_ * 29 % 67 < 52 ? "large" : "own");
  }

  void Play(int rounds) {
    for (int i = 0; i < rounds; ++i) {
      Request("upload");
      origins_.OnRequest("check", "large");
      Request("hold");
      origins_.OnRequest("check", "large");
    }
  }

  CallOrigins origins_;
  int last_ = 0;
};

TEST_F(AnOwnerThatIsCalledByUpstreams, TellsCallsFromRequestsOfCallers) {
  Play(60);
  EXPECT_TRUE(origins_.AreCalls("check"));
  EXPECT_FALSE(origins_.AreCalls("upload"));
  EXPECT_FALSE(origins_.AreCalls("hold"));
  EXPECT_FALSE(origins_.AreCalls("other"));
  Play(5000);
  EXPECT_TRUE(origins_.AreCalls("check"));
  EXPECT_FALSE(origins_.AreCalls("upload"));
}

TEST_F(AnOwnerThatIsCalledByUpstreams, TakesNoFewRequestsForCalls) {
  Play(8);
  EXPECT_FALSE(origins_.AreCalls("check"));
}

TEST_F(AnOwnerThatIsCalledByUpstreams, SeesCallersThatUseAClassOfCalls) {
  Play(60);
  for (int i = 0; i < 200; ++i) Request("check");
  EXPECT_FALSE(origins_.AreCalls("check"));
}

TEST_F(AnOwnerThatIsCalledByUpstreams, TellsNothingWhereAllComeFromOneService) {
  for (int i = 0; i < 5000; ++i) {
    origins_.OnRequest(i % 2 == 0 ? "check" : "upload", "large");
  }
  EXPECT_FALSE(origins_.AreCalls("check"));
  EXPECT_FALSE(origins_.AreCalls("upload"));
}

TEST_F(AnOwnerThatIsCalledByUpstreams, TellsNothingOfInstancesWithoutAService) {
  Play(60);
  for (int i = 0; i < 500; ++i) origins_.OnRequest("edge", "");
  EXPECT_FALSE(origins_.AreCalls("edge"));
}

}  // namespace
}  // namespace hibiscusglade
