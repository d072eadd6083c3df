#include <gtest/gtest.h>

#include <sstream>

#include "consensus/consensus_result_codes.h"
#include "consensus/tests/replica_group.h"
#include "tests/golden/golden.h"

namespace hibiscusglade {
namespace {

using std::chrono::seconds;

/// Plays a whole session of three replicas and writes down what is asked,
/// answered and held.
class ASession : public testing::Test {
 protected:
  ASession() : group_(3) {
    group_.Run(seconds(3));
    leader_ = group_.LeaderName();
    follower_ = leader_ == "a" ? "b" : "a";
    third_ = leader_ == "c" ? "b" : "c";
    if (third_ == follower_) third_ = "c";
  }

  void Note(const std::string& line) { *session_ << line << "\n"; }

  /// Replicas are named by their part, since elections choose who leads.
  std::string PartOf(const std::string& name) const {
    if (name == leader_) return "first leader";
    if (name == group_.LeaderName()) return "next leader";
    return SeatOf(name);
  }

  std::string SeatOf(const std::string& name) const {
    if (name == leader_) return "first leader";
    return name == follower_ ? "follower" : "third";
  }

  void Propose(const std::string& name, const std::string& command) {
    Note(PartOf(name) + " <- propose " + command);
    auto session = session_;
    const std::string part = PartOf(name);
    group_.At(name).Propose(
        command, group_.Now(),
        [session, part, command](const ReplicaResult& result) {
          *session << part << " -> " << command << ": "
                   << (result.error ? result.error.message() : result.result)
                   << "\n";
        });
  }

  void Read(const std::string& name) {
    Note(PartOf(name) + " <- read");
    auto session = session_;
    const std::string part = PartOf(name);
    group_.At(name).Read(
        "", group_.Now(), [session, part](const ReplicaResult& result) {
          *session << part << " -> read: "
                   << (result.error ? result.error.message() : "current state")
                   << "\n";
        });
  }

  void Run(int length) {
    group_.Run(seconds(length));
    Note("  " + std::to_string(length) + " s pass");
  }

  void WriteHeld() {
    for (const std::string& name : {leader_, follower_, third_}) {
      std::string line = SeatOf(name) + " holds";
      for (const auto& command : group_.StateOf(name).Commands()) {
        line += " " + command;
      }
      Note(line);
    }
  }

  void Expect(const std::string& name) {
    ExpectGolden(std::string(HG_TEST_DATA_DIR "/") + name + ".session",
                 session_->str());
  }

  ReplicaGroup group_;
  std::string leader_;
  std::string follower_;
  std::string third_;
  // Callbacks may come after the test's body.
  std::shared_ptr<std::ostringstream> session_ =
      std::make_shared<std::ostringstream>();
};

TEST_F(ASession, OfAnIsolatedLeader) {
  Propose(leader_, "v1");
  Run(1);
  Note("first leader is cut off");
  group_.Isolate(leader_);
  Propose(leader_, "lost");
  Read(leader_);
  Run(5);
  Read(leader_);
  Propose(group_.LeaderName() == leader_ ? follower_ : group_.LeaderName(),
          "v2");
  Run(1);
  Note("first leader is back");
  group_.Heal(leader_);
  Run(3);
  WriteHeld();
  Expect("isolated_leader");
}

TEST_F(ASession, OfAWipedDiskAndASecondLoss) {
  Propose(leader_, "v1");
  Run(1);
  Note("follower loses its disk and starts again");
  group_.Stop(follower_);
  group_.Wipe(follower_);
  group_.Start(follower_);
  Propose(leader_, "v2");
  Run(5);
  Note("first leader is lost for good");
  group_.Stop(leader_);
  Run(5);
  Propose(group_.LeaderName(), "v3");
  Run(2);
  WriteHeld();
  Expect("wiped_disk_second_loss");
}

TEST_F(ASession, OfARestartOfAll) {
  Propose(leader_, "v1");
  Run(1);
  Propose(leader_, "v2");
  Note("all restart at once");
  for (const std::string& name : {leader_, follower_, third_}) {
    group_.Stop(name);
  }
  for (const std::string& name : {leader_, follower_, third_}) {
    group_.Start(name);
  }
  Run(5);
  leader_ = group_.LeaderName();
  Propose(leader_, "v3");
  Run(2);
  for (const std::string& name : {follower_, third_}) {
    EXPECT_EQ(group_.StateOf(name).Commands(),
              group_.StateOf(leader_).Commands());
  }
  Note("all hold " + group_.StateOf(leader_).Commands().front() + " " +
       group_.StateOf(leader_).Commands().back());
  Expect("restart_of_all");
}

}  // namespace
}  // namespace hibiscusglade
