#include <gtest/gtest.h>

#include <sstream>

#include "consensus/consensus_result_codes.h"
#include "consensus/tests/replica_group.h"
#include "tests/golden/golden.h"

namespace hibiscusglade {
namespace {

using std::chrono::seconds;

/// Runs a scenario with three replicas and records proposals, reads, their
/// results and the commands applied by each replica. The record is compared
/// with a golden file.
class AReplicaSession : public testing::Test {
 protected:
  AReplicaSession() : group_(3) {
    group_.Run(seconds(3));
    leader_ = group_.LeaderName();
    follower_ = leader_ == "a" ? "b" : "a";
    other_follower_ = leader_ == "c" ? "b" : "c";
    if (other_follower_ == follower_) other_follower_ = "c";
  }

  void Record(const std::string& line) { *record_ << line << "\n"; }

  /// @return the role of a replica in the scenario. The record uses roles
  /// instead of names, as the random election timeouts determine which replica
  /// leads.
  std::string RoleOf(const std::string& name) const {
    if (name == leader_) return "first leader";
    if (name == group_.LeaderName()) return "next leader";
    return InitialRoleOf(name);
  }

  std::string InitialRoleOf(const std::string& name) const {
    if (name == leader_) return "first leader";
    return name == follower_ ? "follower" : "other follower";
  }

  void Propose(const std::string& name, const std::string& command) {
    Record(RoleOf(name) + " <- propose " + command);
    auto record = record_;
    const std::string role = RoleOf(name);
    group_.At(name).Propose(
        command, group_.Now(),
        [record, role, command](const ReplicaResult& result) {
          *record << role << " -> " << command << ": "
                  << (result.error ? result.error.message() : result.result)
                  << "\n";
        });
  }

  void Read(const std::string& name) {
    Record(RoleOf(name) + " <- read");
    auto record = record_;
    const std::string role = RoleOf(name);
    group_.At(name).Read(
        "", group_.Now(), [record, role](const ReplicaResult& result) {
          *record << role << " -> read: "
                  << (result.error ? result.error.message() : "current state")
                  << "\n";
        });
  }

  void Run(int length) {
    group_.Run(seconds(length));
    Record("  " + std::to_string(length) + " s pass");
  }

  void RecordAppliedCommands() {
    for (const std::string& name : {leader_, follower_, other_follower_}) {
      std::string line = InitialRoleOf(name) + " has applied";
      for (const auto& command : group_.StateOf(name).Commands()) {
        line += " " + command;
      }
      Record(line);
    }
  }

  void Expect(const std::string& name) {
    ExpectGolden(std::string(HG_TEST_DATA_DIR "/") + name + ".session",
                 record_->str());
  }

  ReplicaGroup group_;
  std::string leader_;
  std::string follower_;
  std::string other_follower_;
  // Shared with the callbacks, which may be called after the test's body.
  std::shared_ptr<std::ostringstream> record_ =
      std::make_shared<std::ostringstream>();
};

TEST_F(AReplicaSession, WithAnIsolatedLeader) {
  Propose(leader_, "v1");
  Run(1);
  Record("first leader is isolated");
  group_.Isolate(leader_);
  Propose(leader_, "lost");
  Read(leader_);
  Run(5);
  Read(leader_);
  Propose(group_.LeaderName() == leader_ ? follower_ : group_.LeaderName(),
          "v2");
  Run(1);
  Record("first leader is reconnected");
  group_.Heal(leader_);
  Run(3);
  RecordAppliedCommands();
  Expect("isolated_leader");
}

TEST_F(AReplicaSession, WithAWipedDiskAndASecondLoss) {
  Propose(leader_, "v1");
  Run(1);
  Record("follower loses its disk and restarts");
  group_.Stop(follower_);
  group_.Wipe(follower_);
  group_.Start(follower_);
  Propose(leader_, "v2");
  Run(5);
  Record("first leader stops permanently");
  group_.Stop(leader_);
  Run(5);
  Propose(group_.LeaderName(), "v3");
  Run(2);
  RecordAppliedCommands();
  Expect("wiped_disk_second_loss");
}

TEST_F(AReplicaSession, WithARestartOfAllReplicas) {
  Propose(leader_, "v1");
  Run(1);
  Propose(leader_, "v2");
  Record("all restart");
  for (const std::string& name : {leader_, follower_, other_follower_}) {
    group_.Stop(name);
  }
  for (const std::string& name : {leader_, follower_, other_follower_}) {
    group_.Start(name);
  }
  Run(5);
  leader_ = group_.LeaderName();
  Propose(leader_, "v3");
  Run(2);
  for (const std::string& name : {follower_, other_follower_}) {
    EXPECT_EQ(group_.StateOf(name).Commands(),
              group_.StateOf(leader_).Commands());
  }
  Record("all have applied " + group_.StateOf(leader_).Commands().front() +
         " " + group_.StateOf(leader_).Commands().back());
  Expect("restart_of_all");
}

}  // namespace
}  // namespace hibiscusglade
