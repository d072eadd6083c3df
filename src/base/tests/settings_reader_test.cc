#include "base/settings_reader.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

const NumberSpec kPort{1, 65535, 80, "port", "Port to listen on.", true};

class ASettingsFile : public testing::Test {
 protected:
  static std::vector<SettingsFault> FaultsOf(std::string_view text) {
    SettingsReader reader(text);
    reader.Number("port", kPort);
    {
      SettingsReader log = reader.Object("log", "Logging.");
      log.Text("level", {"info", "Lowest level.", false, {"info", "error"}});
      log.IpAddress("target", {"", "Where logs go."});
    }
    reader.Finish();
    return reader.Faults();
  }
};

class ASettingsFileThatIsGood : public ASettingsFile {};

TEST_F(ASettingsFileThatIsGood, MayHoldComments) {
  EXPECT_TRUE(FaultsOf("{\"port\": 81 /* callers */ }").empty());
}

class ASettingsFileWithFaults : public ASettingsFile {};

TEST_F(ASettingsFileWithFaults, ListsAllOfThemAtOnceWithTheirPlaces) {
  auto faults = FaultsOf(
      R"({"port": 0, "log": {"level": "loud", "target": "host"}, "x": 1})");
  ASSERT_EQ(faults.size(), 4u);
  EXPECT_EQ(faults[0].pointer, "/port");
  EXPECT_EQ(faults[0].message,
            "expected a whole number from 1 to 65535 (port), found 0");
  EXPECT_EQ(faults[1].pointer, "/log/level");
  EXPECT_EQ(faults[2].pointer, "/log/target");
  EXPECT_EQ(faults[3], (SettingsFault{"/x", "unknown field"}));
}

TEST(ASettingsFileWithADecimal, AcceptsFractionsAndChecksTheRange) {
  const NumberSpec rate{0, 100, 0, "10^6 bit/s", "Rate."};
  SettingsReader good(R"({"a": 7.7, "b": 8})");
  EXPECT_EQ(good.Decimal("a", rate), 7.7);
  EXPECT_EQ(good.Decimal("b", rate), 8);
  EXPECT_EQ(good.Decimal("absent", rate), 0);
  EXPECT_TRUE(good.Faults().empty());
  SettingsReader bad(R"({"a": -0.5, "b": "8"})");
  EXPECT_EQ(bad.Decimal("a", rate), 0);
  EXPECT_EQ(bad.Decimal("b", rate), 0);
  ASSERT_EQ(bad.Faults().size(), 2u);
  EXPECT_EQ(bad.Faults()[0].message,
            "expected a number from 0 to 100 (10^6 bit/s), found -0.5");
}

TEST_F(ASettingsFileWithFaults, IsRefusedWhenItIsNoJson) {
  auto faults = FaultsOf("{\"port\": ");
  ASSERT_EQ(faults.size(), 1u);
  EXPECT_NE(faults[0].message.find("parse error"), std::string::npos);
}

TEST_F(ASettingsFileWithFaults, NamesAMissingField) {
  auto faults = FaultsOf("{}");
  ASSERT_EQ(faults.size(), 1u);
  EXPECT_EQ(faults[0].pointer, "/port");
}

}  // namespace
}  // namespace hibiscusglade
