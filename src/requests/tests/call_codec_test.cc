#include "requests/internal/call_codec.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

class ACallOnTheWire : public testing::Test {
 protected:
  ACallOnTheWire() {
    attempt_.id = "e/1/7";
    attempt_.request.method = "POST";
    attempt_.request.target = "/uploads";
    attempt_.service = "evidence";
    attempt_.remaining = std::chrono::seconds(3);
    attempt_.objective = std::chrono::milliseconds(800);
  }

  wire::CallStart Sent() const {
    wire::CallStart sent;
    ToWire(attempt_, sent);
    return sent;
  }

  CallAttempt attempt_;
};

TEST_F(ACallOnTheWire, ArrivesAsItWasSent) {
  attempt_.request.body = "deposit";
  EXPECT_EQ(Sent().service(), "evidence");
  EXPECT_EQ(FromWire(Sent()), attempt_);
}

// Guards against an older daemon that runs an offered request without its body:
// it refuses one for a service that it doesn't have.
TEST_F(ACallOnTheWire, NamesNoServiceToOlderDaemonsWhenItsBodyIsOffered) {
  attempt_.offered_bytes = 60'000;
  EXPECT_EQ(Sent().service(), "");
  EXPECT_EQ(FromWire(Sent()), attempt_);
}

TEST_F(ACallOnTheWire, BringsALoadReportThatTellsWhetherOffersAreTaken) {
  LoadReport load;
  load.takes_offers = true;
  wire::LoadReport sent;
  ToWire(load, sent);
  EXPECT_EQ(FromWire(sent), load);
  EXPECT_FALSE(FromWire(wire::LoadReport()).takes_offers);
}

TEST_F(ACallOnTheWire, BringsALoadReportThatTellsWhetherUpstreamsMakeTheCalls) {
  LoadReport load;
  load.begun_work = true;
  wire::LoadReport sent;
  ToWire(load, sent);
  EXPECT_EQ(FromWire(sent), load);
  EXPECT_FALSE(FromWire(wire::LoadReport()).begun_work);
}

}  // namespace
}  // namespace hibiscusglade
