#ifndef HIBISCUSGLADE_TESTS_PROCESSES_CLAIMS_MESH_H_
#define HIBISCUSGLADE_TESTS_PROCESSES_CLAIMS_MESH_H_

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "tests/harness/mesh.h"

namespace hibiscusglade {

/// A mesh with deposits, which may not be repeated, and catalogue pages.
class ClaimsMesh : public testing::Test {
 protected:
  ClaimsMesh(int network, std::vector<SeatSpec> seats)
      : seats_(seats), mesh_(network, std::move(seats)) {
    mesh_.Start();
  }

  void PutFirstVersionInForce(int upstreams) {
    constexpr char kVersion[] = R"([
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
    const std::string first = seats_.front().instance;
    ASSERT_TRUE(
        mesh_.WaitForUpstreams(first, upstreams, std::chrono::seconds(20)));
    ASSERT_EQ(mesh_.Propose(first, "first", 0, kVersion).status, 200);
    ASSERT_TRUE(mesh_.WaitForVersion(1, std::chrono::seconds(20)));
    for (const SeatSpec& seat : seats_) {
      ASSERT_TRUE(mesh_.WaitForUpstreams(seat.instance, upstreams,
                                         std::chrono::seconds(20)));
    }
  }

  HttpAnswer Deposit(const std::string& entry, const std::string& key,
                     const std::string& query = "") const {
    return SendHttp("POST", mesh_.CallerUrl(entry) + "/deposits/" + key + query,
                    "100", {"Idempotency-Key: k" + key});
  }

  /// @return how often all upstreams together ran a deposit.
  int Runs(const std::string& key) const {
    int runs = 0;
    for (const SeatSpec& seat : seats_) {
      if (seat.service.empty()) continue;
      const std::string text =
          SendHttp("GET", mesh_.UpstreamUrl(seat.instance) + "/standin/runs")
              .body;
      const size_t at = text.find(" POST /deposits/" + key + " ");
      if (at == std::string::npos) continue;
      const size_t line = text.rfind('\n', at);
      runs += std::stoi(text.substr(line == std::string::npos ? 0 : line + 1));
    }
    return runs;
  }

  std::vector<SeatSpec> seats_;
  Mesh mesh_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_TESTS_PROCESSES_CLAIMS_MESH_H_
