#include <nlohmann/json.hpp>

#include "calls/access_key.h"
#include "entry/tests/entry_fixture.h"

namespace hibiscusglade {
namespace {

using nlohmann::json;

/// Lets so many requests pass.
class FixedLimit : public CustomerLimits {
 public:
  std::optional<Duration> Take(const CustomerConfig& customer,
                               Instant) override {
    if (customer.rate_per_s == 0) return std::nullopt;
    if (left == 0) return std::chrono::milliseconds(700);
    --left;
    return std::nullopt;
  }
  void GiveBack(const std::string&, Instant, Instant) override { ++left; }
  LimitStatus StatusOf(const std::string&) override { return {}; }
  bool OnPeerMessage(const std::string&, const ReturnPath&,
                     const wire::Envelope&, Instant) override {
    return false;
  }
  void OnTick(Instant) override {}

  int left = 1;
};

class AnEntryWithLimits : public AnEntry {
 protected:
  AnEntryWithLimits() {
    entry_ =
        MakeEntry("e", 1, {owners_, routes_, *chooser_, *metrics_, limits_});
    json document = json::parse(kDocument);
    for (const char* name : {"north", "free"}) {
      document["customers"][name]["keys"] = {KeyDigest::Of(name).Hex()};
    }
    document["customers"]["north"]["rate_per_s"] = 5;
    PublishVersion(2, document.dump());
  }

  void BeginFor(const std::string& customer, const std::string& target) {
    CallRequest request;
    request.method = "GET";
    request.target = target;
    ReadAccessKey({"Authorization", "Bearer " + customer}, request);
    received_.clear();
    owners_.started.clear();
    entry_->Begin(++last_call_, request,
                  std::make_unique<RecordingStream>(received_, retry_after_),
                  now_);
  }

  FixedLimit limits_;
};

TEST_F(AnEntryWithLimits, RefusesWhatIsOverTheLimitBeforeAnyOwnerIsAsked) {
  BeginFor("north", "/reads/1");
  EXPECT_EQ(owners_.started.size(), 1U);
  BeginFor("north", "/reads/1");
  EXPECT_TRUE(owners_.started.empty());
  EXPECT_EQ(received_, "refused 4015 not-run");
  EXPECT_EQ(retry_after_, std::chrono::milliseconds(700));
  BeginFor("free", "/reads/1");
  EXPECT_EQ(owners_.started.size(), 1U);
}

TEST_F(AnEntryWithLimits, CountsNoRequestThatTakesNoRoute) {
  BeginFor("north", "/none/1");
  EXPECT_EQ(limits_.left, 1);
}

TEST_F(AnEntryWithLimits, GivesBackWhatNoUpstreamRan) {
  BeginFor("north", "/tags/1");
  EXPECT_EQ(limits_.left, 0);
  while (received_.empty()) {
    Refuse(owners_.started.back().second,
           make_error_code(RoutingCode::kStopping), Certainty::kNotRun);
  }
  EXPECT_EQ(limits_.left, 1);
}

TEST_F(AnEntryWithLimits, KeepsTheCountOfWhatMayHaveRun) {
  BeginFor("north", "/tags/1");
  Refuse(Attempt(0), make_error_code(RoutingCode::kOwnerLost),
         Certainty::kUnknown);
  EXPECT_NE(received_, "");
  EXPECT_EQ(limits_.left, 0);
}

}  // namespace
}  // namespace hibiscusglade
