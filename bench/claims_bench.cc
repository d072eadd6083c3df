// Cost of requests that need a claim: rate and memory of the ledger alone, and
// latency and rate through a mesh of three failure domains, compared with the
// same requests on a repeatable route.
#include <gflags/gflags.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "claims/claim_codec.h"
#include "claims/claim_ledger.h"
#include "tests/harness/load.h"
#include "tests/harness/mesh.h"
#include "tests/harness/process_cost.h"

DEFINE_int32(network, 110, "N of the loopback network 127.N.0.0");
DEFINE_int32(rounds, 3, "repetitions of each measurement");
DEFINE_int32(seconds, 4, "length of one load in seconds");
DEFINE_string(rates, "50,400", "comma-separated rates in calls per second");
DEFINE_int32(claims, 200'000, "claims that one ledger stores");

namespace hibiscusglade {
namespace {

using Time = std::chrono::steady_clock;

ClaimCommand CommandOf(ClaimKind kind, int number) {
  ClaimCommand command;
  command.kind = kind;
  command.service = "orders";
  command.key = "key-of-a-deposit-" + std::to_string(number);
  command.attempt = "instance/1764840000000000/" + std::to_string(number);
  command.owner = "o" + std::to_string(number % 12);
  command.expires_at = 100 * kClaimLifetimeMicros + number;
  if (kind == ClaimKind::kFinish) command.answer = std::string(200, 'x');
  return command;
}

void MeasureLedger() {
  std::vector<double> claims_per_second;
  std::vector<double> bytes_per_claim;
  for (int round = 0; round < FLAGS_rounds; ++round) {
    const double resident_before = ProcessResidentKb(getpid());
    ClaimLedger ledger(size_t{4} * 1024 * 1024 * 1024);
    const auto start = Time::now();
    for (int i = 0; i < FLAGS_claims; ++i) {
      ledger.Apply(EncodeClaim(CommandOf(ClaimKind::kClaim, i)));
      ledger.Apply(EncodeClaim(CommandOf(ClaimKind::kFinish, i)));
    }
    const std::chrono::duration<double> took = Time::now() - start;
    claims_per_second.push_back(FLAGS_claims / took.count());
    bytes_per_claim.push_back((ProcessResidentKb(getpid()) - resident_before) *
                              1024 / FLAGS_claims);
  }
  std::printf(
      "| ledger alone, claim and finish | - | %.0f /s | - | - | %.0f |\n",
      MedianOf(claims_per_second),
      *std::max_element(bytes_per_claim.begin(), bytes_per_claim.end()));
}

LoadResult RunPosts(const Mesh& mesh, const std::string& path, double rate,
                    const std::string& key_prefix) {
  LoadSpec spec;
  spec.length = std::chrono::seconds(FLAGS_seconds);
  spec.rate = [rate](std::chrono::milliseconds) { return rate; };
  spec.call = [&mesh, path, key_prefix](uint64_t n) {
    static const char* const entries[] = {"x", "y", "z"};
    LoadCall call;
    call.method = "POST";
    call.url = mesh.CallerUrl(entries[n % 3]) + path + std::to_string(n);
    call.body = "100";
    call.fields = {"Idempotency-Key: " + key_prefix + std::to_string(n)};
    return call;
  };
  return RunLoad(spec)[""];
}

/// Measures the repeatable and the non-repeatable route at a rate.
/// @param loads number of loads run so far, for unique idempotency keys.
void MeasureRoutes(const Mesh& mesh, double rate, int& loads) {
  for (const char* path : {"/catalogue/", "/deposits/"}) {
    std::vector<double> median_ms;
    std::vector<double> p99_ms;
    std::vector<double> good_per_second;
    for (int round = 0; round < FLAGS_rounds; ++round) {
      const LoadResult result =
          RunPosts(mesh, path, rate, "r" + std::to_string(++loads) + "-");
      for (const auto& [code, count] : result.refusals) {
        std::fprintf(stderr, "%s at %.0f /s: %llu refused with %d\n", path,
                     rate, static_cast<unsigned long long>(count), code);
      }
      median_ms.push_back(static_cast<double>(result.Quantile(0.5)) / 1000);
      p99_ms.push_back(static_cast<double>(result.Quantile(0.99)) / 1000);
      good_per_second.push_back(static_cast<double>(result.good) /
                                FLAGS_seconds);
    }
    std::printf("| %s at %.0f /s | 2.5 ms | %.0f /s | %.1f | %.1f | - |\n",
                path, rate, MedianOf(good_per_second), MedianOf(median_ms),
                MedianOf(p99_ms));
  }
}

int Main() {
  Mesh mesh(FLAGS_network, {{"x", "a", "orders", 16, true, {}},
                            {"y", "b", "orders", 16, true, {}},
                            {"z", "c", "orders", 16, true, {}}});
  mesh.LinkRelay().SetPolicy(
      [&](const std::string& from, const std::string& to) {
        Relay::Link link;
        if (mesh.DomainOfIp(from) != mesh.DomainOfIp(to)) {
          link.delay = std::chrono::microseconds(2500);
        }
        return link;
      });
  mesh.Start();
  mesh.WaitForUpstreams("x", 3, std::chrono::seconds(20));
  mesh.Propose("x", "first", 0, R"([
    {"op": "add", "path": "/services/orders", "value": {"max_queue": 256}},
    {"op": "add", "path": "/classes/short", "value": {"max_wait_ms": 2000}},
    {"op": "add", "path": "/routes/catalogue", "value": {"path_prefix":
      "/catalogue/", "service": "orders", "class": "short",
      "repeatable": true}},
    {"op": "add", "path": "/routes/deposits", "value": {"path_prefix":
      "/deposits/", "service": "orders", "class": "short",
      "repeatable": false}}])");
  mesh.WaitForVersion(1, std::chrono::seconds(20));
  std::printf(
      "| what | one way between domains | good | median ms | 99th ms "
      "| bytes per claim |\n|---|---|---|---|---|---|\n");
  MeasureLedger();
  int loads = 0;
  for (size_t at = 0; at < FLAGS_rates.size();) {
    const size_t comma =
        std::min(FLAGS_rates.find(',', at), FLAGS_rates.size());
    MeasureRoutes(mesh, std::stod(FLAGS_rates.substr(at, comma - at)), loads);
    at = comma + 1;
  }
  return 0;
}

}  // namespace
}  // namespace hibiscusglade

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Measures the cost of requests that need a claim.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hibiscusglade::Main();
}
