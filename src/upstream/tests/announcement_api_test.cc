#include "upstream/announcement_api.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

constexpr char kPath[] = "/v1/announcement";
constexpr char kAnnouncement[] =
    R"({"service":"plots","address":"10.0.0.1","port":80,"slots":4,)"
    R"("state":"draining"})";

class AnUpstream : public testing::Test, protected AnnouncementSink {
 protected:
  bool Announce(const UpstreamAnnouncement&) override { return in_effect_; }
  bool Deregister(const std::string&, int64_t) override { return in_effect_; }
  void ReportDown(const UpstreamAnnouncement&) override {}

  HttpResponse Send(const std::string& method, const std::string& body) {
    return AnswerAnnouncement(*this, {method, kPath, {}, body});
  }

  bool in_effect_ = true;
};

TEST_F(AnUpstream, IsAcknowledgedWhenItsAnnouncementIsInEffect) {
  EXPECT_EQ(Send("PUT", kAnnouncement).status, 200);
  EXPECT_EQ(Send("DELETE", "").status, 200);
}

TEST_F(AnUpstream, IsNotAcknowledgedBeforeItsAnnouncementIsInEffect) {
  in_effect_ = false;
  const HttpResponse announced = Send("PUT", kAnnouncement);
  EXPECT_EQ(announced.status, 503);
  EXPECT_NE(announced.body.find("8003"), std::string::npos) << announced.body;
  EXPECT_EQ(Send("DELETE", "").status, 503);
}

TEST_F(AnUpstream, IsRefusedWithAnAddressThatCannotBeUsed) {
  for (const char* address :
       {R"("fd00::1","port":80)", R"("10.0.0.300","port":80)",
        R"("10.0.0.1\u0000","port":80)", R"("10.0.0.1","port":65536)",
        R"("10.0.0.1","port":18446744073709551615)",
        R"("10.0.0.1","port":1e300)", R"([[[["10.0.0.1"]]]],"port":80)"}) {
    EXPECT_EQ(Send("PUT", R"({"service":"plots","slots":4,"address":)" +
                              std::string(address) + "}")
                  .status,
              400)
        << address;
  }
}

}  // namespace
}  // namespace hibiscusglade
