#include "customers/key_check.h"

#include <gtest/gtest.h>

#include "calls/access_key.h"

namespace hibiscusglade {
namespace {

/// A request with Authorization fields on a route, as of one version.
class ARequestWithFields : public testing::Test {
 protected:
  ARequestWithFields() {
    document_.keys_required = true;
    document_.customers["north"] = {
        "north", {KeyDigest::Of("n1"), KeyDigest::Of("n2")}, 3, 20, 5};
  }

  KeyCheck CheckWith(const std::vector<std::string>& values) {
    request_ = {};
    request_.headers = {{"Accept", "text/plain"}};
    request_.customer = "forged";
    for (const std::string& value : values) {
      EXPECT_TRUE(ReadAccessKey({"authoriZation", value}, request_));
    }
    const CustomerDirectory directory(document_);
    return CheckKey(directory, document_, route_, request_);
  }
  KeyVerdict VerdictOn(const std::vector<std::string>& values) {
    return CheckWith(values).verdict;
  }

  ConfigDocument document_;
  RouteConfig route_;
  CallRequest request_;
};

TEST_F(ARequestWithFields, IsFromTheHolderOfItsKey) {
  const KeyCheck check = CheckWith({"Bearer n2"});
  EXPECT_EQ(check.verdict, KeyVerdict::kAdmitted);
  EXPECT_EQ(check.customer, (CustomerConfig{"north", {}, 3, 20, 5}));
  EXPECT_EQ(request_.customer, "north");
}

TEST_F(ARequestWithFields, MayWriteTheSchemeInAnyCaseAndSpacing) {
  for (const char* value : {"bearer n1", "BEARER  n1", "Bearer \tn1 "}) {
    EXPECT_EQ(VerdictOn({value}), KeyVerdict::kAdmitted) << value;
  }
}

TEST_F(ARequestWithFields, HasNoKeyInAnyOtherForm) {
  for (const char* value :
       {"", "n1", "Bearer", "Bearer ", "Bearern1", "Basic n1", "Bearer n1 n2",
        "Bearer n1, Bearer n1"}) {
    EXPECT_EQ(VerdictOn({value}), KeyVerdict::kMissing) << value;
  }
  EXPECT_EQ(VerdictOn({}), KeyVerdict::kMissing);
}

TEST_F(ARequestWithFields, HasNoKeyWhenThereAreSeveral) {
  EXPECT_EQ(VerdictOn({"Bearer n1", "Bearer n1"}), KeyVerdict::kMissing);
  EXPECT_EQ(VerdictOn({"Bearer n1", "Basic x"}), KeyVerdict::kMissing);
  EXPECT_EQ(VerdictOn({"", "Bearer n1", "Bearer n2"}), KeyVerdict::kMissing);
}

TEST_F(ARequestWithFields, IsRefusedWithAKeyThatNobodyHolds) {
  EXPECT_EQ(VerdictOn({"Bearer N1"}), KeyVerdict::kUnknown);
  EXPECT_EQ(request_.customer, "");
}

TEST_F(ARequestWithFields, IsServedOnAnOpenRouteInAnyCase) {
  route_.open = true;
  EXPECT_EQ(CheckWith({"Bearer n1"}).customer->name, "north");
  for (const std::vector<std::string>& values :
       {std::vector<std::string>{}, {"Bearer none"}, {"Bearer n1", "n2"}}) {
    EXPECT_EQ(CheckWith(values), KeyCheck{});
    EXPECT_EQ(request_.customer, "");
  }
}

TEST_F(ARequestWithFields, LosesThemWhereKeysAreRequired) {
  for (const bool open : {false, true}) {
    route_.open = open;
    for (const char* value : {"Bearer n1", "Bearer none", "Basic n1"}) {
      CheckWith({value, value});
      EXPECT_EQ(request_.headers.size(), 1U);
      EXPECT_TRUE(request_.key_fields.empty());
      CheckWith({value});
      EXPECT_EQ(request_.access_key, "");
    }
  }
}

TEST_F(ARequestWithFields, KeepsThemWhereNoKeysAreRequired) {
  document_.keys_required = false;
  EXPECT_EQ(CheckWith({"Bearer n1", "Basic x"}), KeyCheck{});
  EXPECT_EQ(request_.headers,
            (std::vector<HeaderField>{{"Accept", "text/plain"},
                                      {"authoriZation", "Bearer n1"},
                                      {"authoriZation", "Basic x"}}));
  EXPECT_EQ(request_.access_key, "");
  EXPECT_TRUE(request_.key_fields.empty());
}

}  // namespace
}  // namespace hibiscusglade
