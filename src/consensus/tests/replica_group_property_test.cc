#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

#include "consensus/consensus_result_codes.h"
#include "consensus/tests/replica_group.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Commands = std::vector<std::string>;

constexpr int kSteps = 60;
const std::vector<std::string> kNames = {"a", "b", "c"};

/// Drives a group through random faults and keeps what was accepted. At most
/// one replica is down, wiped or cut off at a time; a next one is touched only
/// once the last one has caught up.
class FaultSchedule {
 public:
  explicit FaultSchedule(uint64_t seed) : group_(3), random_(seed) {
    group_.SetNetwork(seed, 10, milliseconds(80));
    group_.Run(seconds(3));
  }

  void Step() {
    switch (random_.Below(9)) {
      case 0:
        RestartAll();
        break;
      case 1:
        group_.Heal(weak_);
        break;
      case 2:
        Weaken();
        group_.Isolate(weak_);
        break;
      case 3:
        Weaken();
        Restart(weak_);
        break;
      case 4:
        Wipe();
        break;
      case 5:
        Weaken();
        TearTail(weak_);
        break;
      default:
        ProposeAnywhere();
        break;
    }
    group_.Run(milliseconds(random_.Below(900)));
    CheckPrefixes();
  }

  void HealAndCheck() {
    for (const std::string& name : kNames) group_.Heal(name);
    group_.SetNetwork(1, 0, milliseconds(0));
    group_.Run(seconds(15));
    const Commands& all = group_.StateOf("a").Commands();
    RC_ASSERT(group_.StateOf("b").Commands() == all);
    RC_ASSERT(group_.StateOf("c").Commands() == all);
    // Accepted commands stand at exactly the places that were told.
    for (const std::string& command : accepted_) {
      RC_ASSERT(std::count(all.begin(), all.end(), command) == 1);
    }
    RC_ASSERT(!group_.LeaderName().empty());
  }

 private:
  /// Chooses the one replica that may be at fault.
  void Weaken() {
    if (!AllAreWell()) return;
    weak_ = kNames[random_.Below(kNames.size())];
  }

  bool AllAreWell() {
    group_.Heal(weak_);
    group_.Run(seconds(6));
    const LogIndex committed = group_.At(kNames[0]).Node().CommitIndex();
    for (const std::string& name : kNames) {
      const ConsensusNode& node = group_.At(name).Node();
      if (node.Role() == ReplicaRole::kNonVoter || committed == 0 ||
          node.CommitIndex() + 3 < committed) {
        return false;
      }
    }
    return true;
  }

  void Restart(const std::string& name) {
    group_.Stop(name);
    group_.Start(name);
    RC_ASSERT(!group_.ErrorOf(name));
  }

  void RestartAll() {
    for (const std::string& name : kNames) group_.Stop(name);
    for (const std::string& name : kNames) {
      group_.Start(name);
      RC_ASSERT(!group_.ErrorOf(name));
    }
  }

  void Wipe() {
    if (!AllAreWell()) return;
    weak_ = kNames[random_.Below(kNames.size())];
    group_.Stop(weak_);
    group_.Wipe(weak_);
    group_.Start(weak_);
  }

  /// A crash during a write: a part of a record stands behind the log.
  void TearTail(const std::string& name) {
    group_.Stop(name);
    std::string& log = group_.FolderOf(name).ContentOf("g-log");
    log += log.substr(0, random_.Below(20));
    group_.Start(name);
    RC_ASSERT(!group_.ErrorOf(name));
  }

  void ProposeAnywhere() {
    const std::string command = "c" + std::to_string(++last_command_);
    const std::string& name = kNames[random_.Below(kNames.size())];
    group_.At(name).Propose(command, group_.Now(),
                            [this, command](const ReplicaResult& result) {
                              if (!result.error) accepted_.insert(command);
                            });
  }

  void CheckPrefixes() {
    for (const std::string& name : kNames) {
      const Commands& held = group_.StateOf(name).Commands();
      const size_t common = std::min(held.size(), reference_.size());
      RC_ASSERT(std::equal(held.begin(),
                           held.begin() + static_cast<std::ptrdiff_t>(common),
                           reference_.begin()));
      if (held.size() > reference_.size()) reference_ = held;
    }
  }

  ReplicaGroup group_;
  Random random_;
  std::string weak_ = "a";
  Commands reference_;
  std::set<std::string> accepted_;
  int last_command_ = 0;
};

RC_GTEST_PROP(AGroupUnderRandomFaults, KeepsEveryAcceptedCommandOnce, ()) {
  FaultSchedule schedule(*rc::gen::arbitrary<uint64_t>());
  for (int step = 0; step < kSteps; ++step) schedule.Step();
  schedule.HealAndCheck();
}

}  // namespace
}  // namespace hibiscusglade
