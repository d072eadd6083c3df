// Proposals per second of three replicas with data folders on disk in one
// process, with and without group commit, and the cost of the version ledger
// with 230 services. Messages go through a queue in memory, so the cost is that
// of encoding, checking and syncing.
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

DEFINE_string(folder, "/tmp", "folder in which the data folders are created");
DEFINE_int32(pairs, 3, "repetitions of each measurement");
DEFINE_int32(proposals, 384, "proposals per measurement");
DEFINE_int32(services, 230, "services in the document");

namespace hibiscusglade {
namespace {

using Time = std::chrono::steady_clock;

constexpr int kReplicas = 3;
constexpr int kMaxRounds = 100'000;

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

std::string FirstPatchCommand() {
  std::string patch = "[";
  for (int i = 0; i < FLAGS_services; ++i) {
    const std::string name = "service-" + std::to_string(i);
    patch += (i == 0 ? "" : ",") +
             (R"({"op":"add","path":"/services/)" + name +
              R"(","value":{"max_connections":100,"max_queue":64}})");
  }
  return PatchCommandOf(0, patch + "]");
}

std::string NextPatchCommand(uint64_t base) {
  return PatchCommandOf(base, R"([{"op":"replace","path":"/services/service-)" +
                                  std::to_string(base % FLAGS_services) +
                                  R"(/max_queue","value":)" +
                                  std::to_string(base % 1000) + "}]");
}

/// Three replicas with data folders on disk, connected by a queue in memory.
class OnDiskGroup : public ConsensusTransport {
 public:
  OnDiskGroup() {
    std::string path = FLAGS_folder + "/proposals-XXXXXX";
    root_ = mkdtemp(path.data());
    std::vector<Member> founders;
    for (int i = 0; i < kReplicas; ++i) {
      const std::string name(1, static_cast<char>('a' + i));
      founders.push_back({{name, 0}, true, name, name});
    }
    for (const Member& member : founders) {
      std::error_code error;
      OnDiskReplica& instance = replicas_[member.address];
      instance.folder = OpenDataFolder(root_ + "/" + member.address, error);
      FoundReplica(*instance.folder, member.id.instance, founders);
      instance.replica =
          OpenReplica(*instance.folder, "v-", member, founders, {}, *this,
                      instance.ledger, member.address[0], now_, error);
    }
    while (Leader() == nullptr) Tick();
  }
  ~OnDiskGroup() override {
    replicas_.clear();
    std::filesystem::remove_all(root_);
  }

  void SendConsensusMessage(const std::string& address,
                            const ConsensusMessage& message) override {
    queue_.emplace_back(address, message);
  }

  /// Proposes commands and waits until all of them have a verdict.
  /// @param group_size number of proposals before each Flush().
  /// @return whether all commands got a verdict.
  bool ProposeAll(const std::vector<std::string>& commands, size_t group_size) {
    size_t answered = 0;
    for (size_t begin = 0; begin < commands.size(); begin += group_size) {
      const size_t end = std::min(begin + group_size, commands.size());
      for (size_t i = begin; i < end; ++i) {
        Leader()->Propose(commands[i], now_, [&](const ReplicaResult& result) {
          if (!result.error) ++answered;
        });
      }
      for (int round = 0; answered < end && round < kMaxRounds; ++round) {
        FlushAndDeliver();
      }
    }
    return answered == commands.size();
  }

 private:
  struct OnDiskReplica {
    std::unique_ptr<DataFolder> folder;
    VersionLedger ledger{[](const ConfigVersionPtr&) {}};
    std::unique_ptr<Replica> replica;
  };

  Replica* Leader() {
    for (auto& [name, instance] : replicas_) {
      if (instance.replica->Node().Role() == ReplicaRole::kLeader) {
        return instance.replica.get();
      }
    }
    return nullptr;
  }

  void Tick() {
    now_ += std::chrono::milliseconds(10);
    for (auto& [name, instance] : replicas_) instance.replica->OnTick(now_);
    FlushAndDeliver();
  }

  void FlushAndDeliver() {
    for (auto& [name, instance] : replicas_) instance.replica->Flush(now_);
    auto batch = std::exchange(queue_, {});
    for (auto& [address, message] : batch) {
      replicas_[address].replica->OnMessage(message, now_);
    }
  }

  std::string root_;
  std::map<std::string, OnDiskReplica> replicas_;
  std::deque<std::pair<std::string, ConsensusMessage>> queue_;
  Instant now_ = Instant(std::chrono::seconds(1000));
};

void PrintRow(const std::string& measure, const std::string& variant,
              double value, const char* unit) {
  std::printf("| %s | %s | %.2f | %s |\n", measure.c_str(), variant.c_str(),
              value, unit);
  std::fflush(stdout);
}

/// @param wrong_base whether the patches name a base that does not exist. Such
/// patches are refused, so the cost is that of the log alone, without building
/// documents.
void MeasureProposals(const std::string& measure, bool wrong_base) {
  const std::vector<size_t> group_sizes = {1, 8, 32, 128};
  std::map<size_t, std::vector<double>> rates;
  for (int round = 0; round < FLAGS_pairs; ++round) {
    for (size_t group_size : group_sizes) {
      OnDiskGroup group;
      if (!group.ProposeAll({FirstPatchCommand()}, 1)) continue;
      std::vector<std::string> commands;
      for (int i = 1; i <= FLAGS_proposals; ++i) {
        const auto base = static_cast<uint64_t>(i);
        commands.push_back(
            NextPatchCommand(wrong_base ? base + 1'000'000 : base));
      }
      const auto start = Time::now();
      if (!group.ProposeAll(commands, group_size)) continue;
      rates[group_size].push_back(1000.0 * FLAGS_proposals /
                                  MillisSince(start));
    }
  }
  for (size_t group_size : group_sizes) {
    PrintRow(measure, "groups of " + std::to_string(group_size),
             MedianOf(rates[group_size]), "1/s");
  }
}

void MeasureLedger(uint64_t versions) {
  std::vector<double> apply_ms;
  std::vector<double> snapshot_ms;
  std::vector<double> restore_ms;
  size_t snapshot_bytes = 0;
  size_t all_texts_bytes = 0;
  for (int round = 0; round < FLAGS_pairs; ++round) {
    VersionLedger ledger([](const ConfigVersionPtr&) {});
    ledger.Apply(FirstPatchCommand());
    all_texts_bytes = ledger.Latest()->text.size();
    auto start = Time::now();
    for (uint64_t base = 1; base < versions; ++base) {
      ledger.Apply(NextPatchCommand(base));
      all_texts_bytes += ledger.Latest()->text.size();
    }
    apply_ms.push_back(MillisSince(start) / static_cast<double>(versions));
    start = Time::now();
    const std::string snapshot = ledger.Snapshot();
    snapshot_ms.push_back(MillisSince(start));
    snapshot_bytes = snapshot.size();
    VersionLedger restored([](const ConfigVersionPtr&) {});
    start = Time::now();
    restored.Restore(snapshot);
    restore_ms.push_back(MillisSince(start));
  }
  const std::string variant = std::to_string(versions) + " versions";
  PrintRow("apply a patch", variant, MedianOf(apply_ms), "ms");
  PrintRow("make a snapshot", variant, MedianOf(snapshot_ms), "ms");
  PrintRow("restore a snapshot", variant, MedianOf(restore_ms), "ms");
  PrintRow("snapshot", variant, static_cast<double>(snapshot_bytes) / 1000.0,
           "KB");
  PrintRow("whole texts alone (baseline)", variant,
           static_cast<double>(all_texts_bytes) / 1000.0, "KB");
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
