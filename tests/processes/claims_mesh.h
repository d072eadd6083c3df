#ifndef HIBISCUSGLADE_TESTS_PROCESSES_CLAIMS_MESH_H_
#define HIBISCUSGLADE_TESTS_PROCESSES_CLAIMS_MESH_H_

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "tests/harness/mesh.h"

namespace hibiscusglade {

/// A mesh with three routes to the service "orders": deposits, which may not be
/// repeated, and catalogue pages and archives, which may.
class ClaimsMesh : public testing::Test {
 protected:
  ClaimsMesh(int network, std::vector<InstanceSpec> instances)
      : instances_(instances), mesh_(network, std::move(instances)) {
    mesh_.Start();
  }

  void PutFirstVersionInForce(int upstreams) {
    constexpr char kFirstPatch[] = R"([
      {"op": "add", "path": "/services/orders", "value": {"max_queue": 64}},
      {"op": "add", "path": "/classes/short", "value": {"max_wait_ms": 2000}},
      {"op": "add", "path": "/routes/catalogue", "value": {
        "path_prefix": "/catalogue/", "service": "orders", "class": "short",
        "repeatable": true}},
      {"op": "add", "path": "/routes/archive", "value": {
        "path_prefix": "/archive/", "service": "orders", "class": "short",
        "repeatable": true, "timeout_ms": 60000}},
      {"op": "add", "path": "/routes/deposits", "value": {
        "path_prefix": "/deposits/", "service": "orders", "class": "short",
        "repeatable": false}}])";
    const std::string first = instances_.front().instance;
    ASSERT_TRUE(
        mesh_.WaitForUpstreams(first, upstreams, std::chrono::seconds(20)));
    ASSERT_EQ(mesh_.Propose(first, "first", 0, kFirstPatch).status, 200);
    ASSERT_TRUE(mesh_.WaitForVersion(1, std::chrono::seconds(20)));
    for (const InstanceSpec& spec : instances_) {
      ASSERT_TRUE(mesh_.WaitForUpstreams(spec.instance, upstreams,
                                         std::chrono::seconds(20)));
    }
  }

  HttpAnswer Deposit(const std::string& entry, const std::string& key,
                     const std::string& query = "") const {
    return SendHttp("POST", mesh_.CallerUrl(entry) + "/deposits/" + key + query,
                    "100", {"Idempotency-Key: k" + key});
  }

  /// @return runs of the deposit with a key at all upstreams together.
  int Runs(const std::string& key) const {
    int runs = 0;
    for (const InstanceSpec& spec : instances_) {
      if (spec.service.empty()) continue;
      const std::string text =
          SendHttp("GET", mesh_.UpstreamUrl(spec.instance) + "/standin/runs")
              .body;
      const size_t at = text.find(" POST /deposits/" + key + " ");
      if (at == std::string::npos) continue;
      const size_t newline = text.rfind('\n', at);
      runs += std::stoi(
          text.substr(newline == std::string::npos ? 0 : newline + 1));
    }
    return runs;
  }

  std::vector<InstanceSpec> instances_;
  Mesh mesh_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_TESTS_PROCESSES_CLAIMS_MESH_H_
