#include "operator/operator_api.h"

#include <gtest/gtest.h>

namespace hibiscusglade {
namespace {

class RecordingBackend : public OperatorBackend {
 public:
  ProposalVerdict Propose(const PatchProposal& proposal) override {
    proposals.push_back(proposal);
    return {{}, proposal.base + 1, proposal.base + 1, {}};
  }
  ProposalVerdict VerdictOf(const std::string&) override { return {}; }
  VersionRows Version(uint64_t) override {
    VersionRow row;
    row.number = 3;
    row.text = document;
    return {{}, {row}};
  }
  VersionRows History(uint32_t max_rows) override {
    requested_rows = max_rows;
    return {};
  }
  std::vector<DomainProgress> InForce(uint64_t) override { return {}; }
  std::vector<InstanceRecord> Instances() override { return {}; }
  DaemonStatus Status() override { return {}; }
  ProposalVerdict ProposeDocument(const DocumentProposal&) override {
    return {};
  }
  LimitStatus StatusOfLimit(const std::string& customer) override {
    LimitStatus status;
    status.limited = customer == "acme corp";
    status.rate_per_s = 20;
    status.coordinator = "b";
    status.contact_age = std::chrono::milliseconds(250);
    return status;
  }
  std::string MetricsText() override { return ""; }
  RolloutResult OrderRollout(const RolloutOrder& order) override {
    orders.push_back(order);
    return rollout;
  }
  RolloutResult LastRollout(const std::string&) override { return rollout; }
  RolloutRows Rollouts() override { return {{}, {rollout.rollout}}; }
  bool DrainUpstream() override { return drains_in_time; }

  std::vector<PatchProposal> proposals;
  std::vector<RolloutOrder> orders;
  RolloutResult rollout;
  uint32_t requested_rows = 0;
  std::string document;
  bool drains_in_time = true;
};

class TheOperatorsApi : public testing::Test {
 protected:
  HttpResponse Post(const std::string& body) {
    return AnswerOperator(backend_, {"POST", "/v1/patches", {}, body});
  }
  int StatusOf(const std::string& path) {
    return AnswerOperator(backend_, {"GET", path, {}, ""}).status;
  }

  RecordingBackend backend_;
};

class AProposal : public TheOperatorsApi {};

TEST_F(AProposal, ReachesTheBackendWhole) {
  EXPECT_EQ(Post(R"({"patch_id":"p","base":4,"author":"ana",
                     "patch":[{"op":"remove","path":"/routes/x"}]})")
                .status,
            200);
  ASSERT_EQ(backend_.proposals.size(), 1u);
  const PatchProposal expected{
      "p", 4, R"([{"op":"remove","path":"/routes/x"}])", "ana", 0};
  EXPECT_EQ(backend_.proposals[0], expected);
}

TEST_F(AProposal, IsRefusedWithEveryFaultNamed) {
  const HttpResponse answer = Post(R"({"base":-1,"pacth":[]})");
  EXPECT_EQ(answer.status, 400);
  for (const char* pointer : {"/patch_id", "/base", "/pacth"}) {
    EXPECT_NE(answer.body.find(pointer), std::string::npos) << answer.body;
  }
  EXPECT_EQ(Post(R"({"patch_id":"p","base":1,"patch":{}})").status, 400);
  EXPECT_TRUE(backend_.proposals.empty());
}

TEST_F(AProposal, IsRefusedWhenItIsNoSuitableJson) {
  const std::string deep(1000000, '[');
  for (const std::string& body :
       {std::string("{"), std::string("[]"), std::string("\xff"), deep,
        R"({"patch_id":"p","base":0,"patch":)" + deep,
        std::string(R"({"patch_id":"p","base":0,"base":1,"patch":[]})")}) {
    EXPECT_EQ(Post(body).status, 400) << body.substr(0, 80);
  }
  EXPECT_TRUE(backend_.proposals.empty());
}

TEST_F(TheOperatorsApi, ShowsALimitAndWhoCoordinatesIt) {
  EXPECT_EQ(
      AnswerOperator(backend_, {"GET", "/v1/limits/acme corp", {}, ""}).body,
      R"({"burst":0,"contact_ms_ago":250,"coordinator":"b","customer":)"
      R"("acme corp","daemons_in_domain":0,"domain_capacity":0.0,)"
      R"("domain_rate_per_s":0.0,"rate_per_s":20,"regime":"free",)"
      R"("used_here_5s":0})"
      "\n");
  EXPECT_EQ(StatusOf("/v1/limits/other"), 404);
}

TEST_F(TheOperatorsApi, ListsCustomersWithoutTheirKeys) {
  backend_.document = R"({"customers": {
    "acme": {"keys": ["00000000000000000000000000000001"], "priority": 7,
             "rate_per_s": 20},
    "idle": {}}})";
  EXPECT_EQ(
      AnswerOperator(backend_, {"GET", "/v1/customers", {}, ""}).body,
      R"({"customers":[{"burst":0,"customer":"acme","keys":1,"priority":7,)"
      R"("rate_per_s":20},{"burst":0,"customer":"idle","keys":0,)"
      R"("rate_per_s":0}],"keys_required":true,"version":3})"
      "\n");
}

TEST_F(TheOperatorsApi, OrdersAndShowsRollouts) {
  auto order = [this](const std::string& body) {
    return AnswerOperator(backend_, {"POST", "/v1/rollouts", {}, body}).status;
  };
  backend_.rollout.rollout.service = "orders";
  EXPECT_EQ(order(R"({"service":"orders","target_version":"v2",
                      "duration_s":12})"),
            200);
  const RolloutOrder expected{"orders", "v2", std::chrono::seconds(12)};
  EXPECT_EQ(backend_.orders, std::vector{expected});
  EXPECT_EQ(order(R"({"service":"orders","duration_s":0})"), 400);
  EXPECT_EQ(backend_.orders.size(), 1u);
  EXPECT_EQ(StatusOf("/v1/rollouts/orders"), 200);
  EXPECT_EQ(StatusOf("/v1/rollouts"), 200);
  EXPECT_EQ(StatusOf("/v1/rolloutsx"), 404);
}

TEST_F(TheOperatorsApi, ReportsADrainThatIsNotInEffectInTime) {
  const HttpRequest drain{"POST", "/v1/drain", {}, ""};
  EXPECT_EQ(AnswerOperator(backend_, drain).status, 200);
  backend_.drains_in_time = false;
  EXPECT_EQ(AnswerOperator(backend_, drain).status, 503);
}

TEST_F(TheOperatorsApi, RefusesMalformedOrTooLargeNumbers) {
  EXPECT_EQ(StatusOf("/v1/versions/18446744073709551616"), 400);
  EXPECT_EQ(StatusOf("/v1/versions/-1"), 400);
  EXPECT_EQ(StatusOf("/v1/in-force/"), 400);
  EXPECT_EQ(StatusOf("/v1/in-force/7x"), 400);
  for (const char* most : {"4294967297", "-5", "x", ""}) {
    EXPECT_EQ(
        AnswerOperator(backend_, {"GET", "/v1/versions", {{"most", most}}, ""})
            .status,
        400)
        << most;
  }
}

TEST_F(TheOperatorsApi, RefusesAnUnknownMethodOrResource) {
  EXPECT_EQ(AnswerOperator(backend_, {"DELETE", "/v1/status", {}, ""}).status,
            405);
  EXPECT_EQ(StatusOf("/v2/status"), 404);
}

}  // namespace
}  // namespace hibiscusglade
