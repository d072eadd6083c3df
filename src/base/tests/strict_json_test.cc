#include "base/strict_json.h"

#include <gtest/gtest.h>

#include "base/settings_reader.h"

namespace hibiscusglade {
namespace {

std::string Nested(size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

TEST(AJsonText, MayBeNestedUpToTheLimit) {
  EXPECT_EQ(ParseStrictJson(Nested(kMaxJsonDepth)).fault, "");
  EXPECT_EQ(ParseStrictJson(Nested(kMaxJsonDepth + 1)).fault,
            "nested deeper than 32 levels");
}

TEST(AJsonText, IsRefusedWhenAnObjectHoldsAFieldTwice) {
  EXPECT_EQ(ParseStrictJson(R"({"a":{"b":1},"c":{"b":2}})").fault, "");
  EXPECT_EQ(ParseStrictJson(R"([{"b":1},{"b":2}])").fault, "");
  EXPECT_EQ(ParseStrictJson(R"({"a":{"b":1,"b":2}})").fault,
            "field \"b\" stands twice");
}

TEST(ASettingsField, BeyondSixtyThreeBitsIsAFault) {
  for (const char* number :
       {"9223372036854775808", "18446744073709551615", "1e300", "-1"}) {
    SettingsReader reader(std::string("{\"base\": ") + number + "}");
    EXPECT_EQ(reader.Number("base", {0, INT64_MAX, 7, "version", ""}), 7);
    EXPECT_EQ(reader.Faults().size(), 1u) << number;
  }
}

}  // namespace
}  // namespace hibiscusglade
