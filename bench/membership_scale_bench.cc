// Cost of the membership state machine with 2,700 records in twelve failure
// domains and 230 services: a tick, a changed record, an instance that dies or
// returns, and a copy of all records.
#include <benchmark/benchmark.h>

#include "membership/membership.h"

namespace hibiscusglade {
namespace {

constexpr int kInstances = 2700;
constexpr int kDomains = 12;
constexpr int kServices = 230;

InstanceRecord RecordOf(int number) {
  InstanceRecord record;
  record.instance = "instance-" + std::to_string(number);
  record.failure_domain = "domain-" + std::to_string(number % kDomains);
  record.incarnation = 1;
  record.sequence = 1;
  record.control_address = "10.0.0.1:" + std::to_string(number);
  record.request_address = record.control_address;
  record.service = "service-" + std::to_string(number % kServices);
  record.upstream_state = UpstreamState::kServing;
  return record;
}

std::unique_ptr<Membership> FullTable(Instant now) {
  MembershipConfig config;
  config.self = RecordOf(0);
  auto membership = MakeMembership(config, 1, now);
  GossipMessage all;
  for (int i = 1; i < kInstances; ++i) all.records.push_back(RecordOf(i));
  membership->OnMessage("peer", all, now);
  return membership;
}

void Tick(benchmark::State& state) {
  Instant now(std::chrono::seconds(1000));
  auto membership = FullTable(now);
  for (auto unused : state) {
    now += std::chrono::milliseconds(20);
    benchmark::DoNotOptimize(membership->OnTick(now));
  }
}
BENCHMARK(Tick);

void ChangedRecord(benchmark::State& state) {
  const Instant now(std::chrono::seconds(1000));
  auto membership = FullTable(now);
  InstanceRecord record = RecordOf(7);
  for (auto unused : state) {
    ++record.sequence;
    benchmark::DoNotOptimize(
        membership->OnMessage("peer", GossipMessage{{record}, {}}, now));
  }
}
BENCHMARK(ChangedRecord);

// One instance is reported dead and alive in turn.
void InstanceComesAndGoes(benchmark::State& state) {
  const Instant now(std::chrono::seconds(1000));
  auto membership = FullTable(now);
  InstanceRecord record = RecordOf(7);
  for (auto unused : state) {
    ++record.sequence;
    record.state =
        record.sequence % 2 == 0 ? InstanceState::kDead : InstanceState::kAlive;
    benchmark::DoNotOptimize(
        membership->OnMessage("peer", GossipMessage{{record}, {}}, now));
  }
}
BENCHMARK(InstanceComesAndGoes);

void AllRecords(benchmark::State& state) {
  auto membership = FullTable(Instant(std::chrono::seconds(1000)));
  for (auto unused : state) {
    benchmark::DoNotOptimize(membership->Records());
  }
}
BENCHMARK(AllRecords);

}  // namespace
}  // namespace hibiscusglade

BENCHMARK_MAIN();
