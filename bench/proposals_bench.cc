// Proposals per second of three replicas with real data folders in one
// process, with and without grouped commits, and what the ledger of versions
// costs with 230 services. Links cost nothing here: the price is encoding,
// checking and syncing.
#include <gflags/gflags.h>
#include <stdlib.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/data_folder.h"
#include "consensus/replica.h"
#include "versions/version_ledger.h"
#include "wire/storage.pb.h"

DEFINE_string(folder, "/tmp", "where the data folders are made");
DEFINE_int32(pairs, 3, "paired runs");
DEFINE_int32(proposals, 384, "proposals per run");
DEFINE_int32(services, 230, "services in the document");

namespace hibiscusglade {
namespace {

using Time = std::chrono::steady_clock;

constexpr int kReplicas = 3;
constexpr int kMaxTurns = 100'000;

double MillisSince(Time::time_point start) {
  return std::chrono::duration<double, std::milli>(Time::now() - start).count();
}

double MedianOf(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() / 2];
}

std::string PatchCommandOf(uint64_t base, const std::string& patch) {
  wire::PatchCommand command;
  command.set_patch_id("p" + std::to_string(base));
  command.set_base(base);
  command.set_patch(patch);
  return command.SerializeAsString();
}

std::string FirstVersion() {
  std::string patch = "[";
  for (int i = 0; i < FLAGS_services; ++i) {
    const std::string name = "service-" + std::to_string(i);
    patch += (i == 0 ? "" : ",") +
             (R"({"op":"add","path":"/services/)" + name +
              R"(","value":{"max_connections":100,"max_queue":64}})");
  }
  return PatchCommandOf(0, patch + "]");
}

std::string NextVersion(uint64_t base) {
  return PatchCommandOf(base, R"([{"op":"replace","path":"/services/service-)" +
                                  std::to_string(base % FLAGS_services) +
                                  R"(/max_queue","value":)" +
                                  std::to_string(base % 1000) + "}]");
}

/// Three replicas on real folders, joined by a queue.
class DiskGroup : public ConsensusLink {
 public:
  DiskGroup() {
    std::string path = FLAGS_folder + "/proposals-XXXXXX";
    root_ = mkdtemp(path.data());
    std::vector<Member> founders;
    for (int i = 0; i < kReplicas; ++i) {
      const std::string name(1, static_cast<char>('a' + i));
      founders.push_back({{name, 0}, true, name, name});
    }
    for (const Member& member : founders) {
      std::error_code error;
      Seat& seat = seats_[member.address];
      seat.folder = OpenDataFolder(root_ + "/" + member.address, error);
      FoundReplica(*seat.folder, member.id.instance, founders);
      seat.replica =
          OpenReplica(*seat.folder, "v-", member, founders, {}, *this,
                      seat.ledger, member.address[0], now_, error);
    }
    while (Leader() == nullptr) Turn();
  }
  ~DiskGroup() override {
    seats_.clear();
    std::filesystem::remove_all(root_);
  }

  void SendConsensus(const std::string& address,
                     const ConsensusMessage& message) override {
    queue_.emplace_back(address, message);
  }

  /// Proposes and waits until all have a verdict.
  /// @param group proposals between two calls of Flush().
  /// @return whether all got a verdict.
  bool ProposeAll(const std::vector<std::string>& commands, size_t group) {
    size_t answered = 0;
    for (size_t begin = 0; begin < commands.size(); begin += group) {
      const size_t end = std::min(begin + group, commands.size());
      for (size_t i = begin; i < end; ++i) {
        Leader()->Propose(commands[i], now_, [&](const ReplicaResult& result) {
          if (!result.error) ++answered;
        });
      }
      for (int turn = 0; answered < end && turn < kMaxTurns; ++turn) {
        FlushAndDeliver();
      }
    }
    return answered == commands.size();
  }

 private:
  struct Seat {
    std::unique_ptr<DataFolder> folder;
    VersionLedger ledger{[](const ConfigVersionPtr&) {}};
    std::unique_ptr<Replica> replica;
  };

  Replica* Leader() {
    for (auto& [name, seat] : seats_) {
      if (seat.replica->Node().Role() == ReplicaRole::kLeader) {
        return seat.replica.get();
      }
    }
    return nullptr;
  }

  void Turn() {
    now_ += std::chrono::milliseconds(10);
    for (auto& [name, seat] : seats_) seat.replica->OnTick(now_);
    FlushAndDeliver();
  }

  void FlushAndDeliver() {
    for (auto& [name, seat] : seats_) seat.replica->Flush(now_);
    auto batch = std::exchange(queue_, {});
    for (auto& [address, message] : batch) {
      seats_[address].replica->OnMessage(message, now_);
    }
  }

  std::string root_;
  std::map<std::string, Seat> seats_;
  std::deque<std::pair<std::string, ConsensusMessage>> queue_;
  Instant now_ = Instant(std::chrono::seconds(1000));
};

void Row(const std::string& what, const std::string& variant, double value,
         const char* unit) {
  std::printf("| %s | %s | %.2f | %s |\n", what.c_str(), variant.c_str(), value,
              unit);
  std::fflush(stdout);
}

/// @param refused whether the patches name a wrong base: then the price is
/// that of the log alone, without building documents.
void MeasureProposals(const std::string& what, bool refused) {
  const std::vector<size_t> groups = {1, 8, 32, 128};
  std::map<size_t, std::vector<double>> rates;
  for (int pair = 0; pair < FLAGS_pairs; ++pair) {
    for (size_t group : groups) {
      DiskGroup replicas;
      if (!replicas.ProposeAll({FirstVersion()}, 1)) continue;
      std::vector<std::string> commands;
      for (int i = 1; i <= FLAGS_proposals; ++i) {
        const auto base = static_cast<uint64_t>(i);
        commands.push_back(NextVersion(refused ? base + 1'000'000 : base));
      }
      const auto start = Time::now();
      if (!replicas.ProposeAll(commands, group)) continue;
      rates[group].push_back(1000.0 * FLAGS_proposals / MillisSince(start));
    }
  }
  for (size_t group : groups) {
    Row(what, "groups of " + std::to_string(group), MedianOf(rates[group]),
        "1/s");
  }
}

void MeasureLedger(uint64_t versions) {
  std::vector<double> apply;
  std::vector<double> store;
  std::vector<double> restore;
  size_t stored_bytes = 0;
  size_t whole_bytes = 0;
  for (int pair = 0; pair < FLAGS_pairs; ++pair) {
    VersionLedger ledger([](const ConfigVersionPtr&) {});
    ledger.Apply(FirstVersion());
    whole_bytes = ledger.Latest()->text.size();
    auto start = Time::now();
    for (uint64_t base = 1; base < versions; ++base) {
      ledger.Apply(NextVersion(base));
      whole_bytes += ledger.Latest()->text.size();
    }
    apply.push_back(MillisSince(start) / static_cast<double>(versions));
    start = Time::now();
    const std::string snapshot = ledger.Snapshot();
    store.push_back(MillisSince(start));
    stored_bytes = snapshot.size();
    VersionLedger other([](const ConfigVersionPtr&) {});
    start = Time::now();
    other.Restore(snapshot);
    restore.push_back(MillisSince(start));
  }
  const std::string variant = std::to_string(versions) + " versions";
  Row("apply a patch", variant, MedianOf(apply), "ms");
  Row("make a snapshot", variant, MedianOf(store), "ms");
  Row("restore a snapshot", variant, MedianOf(restore), "ms");
  Row("snapshot", variant, static_cast<double>(stored_bytes) / 1000.0, "KB");
  Row("whole texts alone (baseline)", variant,
      static_cast<double>(whole_bytes) / 1000.0, "KB");
}

}  // namespace
}  // namespace hibiscusglade

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::printf("| measure | variant | median | unit |\n|---|---|---|---|\n");
  hibiscusglade::MeasureProposals("accepted patches", false);
  hibiscusglade::MeasureProposals("refused patches, log alone", true);
  for (uint64_t versions : {100, 500, 2000}) {
    hibiscusglade::MeasureLedger(versions);
  }
  return 0;
}
