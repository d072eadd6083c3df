#include <gtest/gtest.h>

#include "consensus/consensus_result_codes.h"
#include "consensus/internal/entry_store.h"
#include "consensus/internal/record_format.h"
#include "consensus/tests/replica_group.h"

namespace hibiscusglade {
namespace {

using std::chrono::seconds;
using Commands = std::vector<std::string>;

constexpr char kLog[] = "g-log";
constexpr int kCommands = 5;

class AGroupWithAFaultyDisk : public testing::Test {
 protected:
  AGroupWithAFaultyDisk() : group_(3) {
    group_.Run(seconds(3));
    leader_ = group_.LeaderName();
    faulty_ = leader_ == "a" ? "b" : "a";
    for (int i = 0; i < kCommands; ++i) {
      EXPECT_FALSE(Propose(leader_, "c" + std::to_string(i)).error);
    }
  }

  ReplicaResult Propose(const std::string& name, const std::string& command) {
    auto result = std::make_shared<ReplicaResult>(
        ReplicaResult{ConsensusCode::kNoQuorum, "no callback"});
    group_.At(name).Propose(
        command, group_.Now(),
        [result](const ReplicaResult& outcome) { *result = outcome; });
    group_.Run(seconds(1));
    return *result;
  }

  void Restart(const std::string& name) {
    group_.Stop(name);
    group_.Start(name);
    ASSERT_FALSE(group_.ErrorOf(name)) << group_.ErrorOf(name).message();
  }

  bool HasNewIdentity(const std::string& name) {
    for (const Member& member : group_.At(name).Node().Members()) {
      if (member.id.instance == name) return member.id.identity != 0;
    }
    return false;
  }

  void ExpectAllCommandsAt(const std::string& name) {
    Commands expected;
    for (int i = 0; i < kCommands; ++i) {
      expected.push_back("c" + std::to_string(i));
    }
    EXPECT_EQ(group_.StateOf(name).Commands(), expected);
  }

  ReplicaGroup group_;
  std::string leader_;
  std::string faulty_;
};

TEST_F(AGroupWithAFaultyDisk, CutsATornTailAndFetchesTheRest) {
  std::string& log = group_.FolderOf(faulty_).ContentOf(kLog);
  log.resize(log.size() - 3);
  Restart(faulty_);
  group_.Run(seconds(5));
  ExpectAllCommandsAt(faulty_);
  EXPECT_FALSE(HasNewIdentity(faulty_));
}

TEST_F(AGroupWithAFaultyDisk, JoinsAsANewMemberAfterAFlippedBit) {
  std::string& log = group_.FolderOf(faulty_).ContentOf(kLog);
  log[log.size() / 2] ^= 1;
  Restart(faulty_);
  EXPECT_EQ(group_.At(faulty_).Node().Role(), ReplicaRole::kNonVoter);
  group_.Run(seconds(5));
  ExpectAllCommandsAt(faulty_);
  EXPECT_TRUE(HasNewIdentity(faulty_));
  EXPECT_EQ(group_.At(faulty_).Node().Role(), ReplicaRole::kFollower);
}

TEST_F(AGroupWithAFaultyDisk, JoinsAsANewMemberWithoutItsVote) {
  group_.FolderOf(faulty_).Remove("g-vote");
  Restart(faulty_);
  EXPECT_EQ(group_.At(faulty_).Node().Role(), ReplicaRole::kNonVoter);
  group_.Run(seconds(5));
  EXPECT_TRUE(HasNewIdentity(faulty_));
}

TEST_F(AGroupWithAFaultyDisk, FetchesWhatARestoredOldCopyLacks) {
  auto old_copy = group_.FolderOf(faulty_).Files();
  ASSERT_FALSE(Propose(leader_, "later").error);
  group_.Stop(faulty_);
  group_.FolderOf(faulty_).Files() = old_copy;
  group_.Start(faulty_);
  group_.Run(seconds(5));
  EXPECT_EQ(group_.StateOf(faulty_).Commands().back(), "later");
  EXPECT_EQ(group_.LeaderName(), leader_);
}

TEST_F(AGroupWithAFaultyDisk, RefusesWhileTheDiskIsFullAndComesBack) {
  group_.FolderOf(leader_).DiskFaults().full = true;
  EXPECT_TRUE(Propose(leader_, "full").error);
  EXPECT_EQ(Propose(leader_, "also full").error, ConsensusCode::kNotLeader);
  group_.Run(seconds(8));
  EXPECT_FALSE(group_.At(leader_).Failure());
  const std::string next = group_.LeaderName();
  group_.FolderOf(leader_).DiskFaults().full = false;
  group_.Run(seconds(3));
  ASSERT_FALSE(Propose(group_.LeaderName(), "after").error) << next;
  EXPECT_EQ(group_.StateOf(leader_).Commands().back(), "after");
  Restart(leader_);
  group_.Run(seconds(5));
  EXPECT_FALSE(HasNewIdentity(leader_))
      << "a partial record was left in the log";
}

TEST_F(AGroupWithAFaultyDisk, EndsItsServiceAfterAFailedSync) {
  group_.FolderOf(leader_).DiskFaults().sync_fails = true;
  EXPECT_EQ(Propose(leader_, "x").error, ConsensusCode::kOutcomeUnknown);
  group_.FolderOf(leader_).DiskFaults().sync_fails = false;
  group_.Run(seconds(5));
  EXPECT_TRUE(group_.At(leader_).Failure());
  EXPECT_EQ(group_.At(leader_).LeaderAddress(), "");
  EXPECT_EQ(Propose(leader_, "y").error, ConsensusCode::kNotLeader);
  EXPECT_FALSE(Propose(faulty_, "z").error &&
               Propose(group_.At(faulty_).LeaderAddress(), "z").error);
}

class AStore : public testing::Test {
 protected:
  RestoredConsensusState Load() {
    RestoredConsensusState restored;
    EXPECT_FALSE(EntryStore(folder_, "g-").Load(restored));
    return restored;
  }

  FakeDataFolder folder_;
};

TEST_F(AStore, StartsAgainAfterACrashBetweenSnapshotAndLog) {
  std::string snapshot;
  AppendRecord(EncodeSnapshot({9, 2, {}, "state"}), snapshot);
  {
    EntryStore store(folder_, "g-");
    RestoredConsensusState restored;
    ASSERT_FALSE(store.Load(restored));
    ASSERT_FALSE(store.SaveVote({2, std::nullopt}));
    store.Append({{1, 1, EntryKind::kCommand, "x"}});
    store.Sync();
  }
  folder_.ContentOf("g-snapshot") = snapshot;
  {
    EntryStore store(folder_, "g-");
    RestoredConsensusState restored;
    ASSERT_FALSE(store.Load(restored));
    store.Append({{2, 10, EntryKind::kCommand, "y"}});
    store.Sync();
  }
  RestoredConsensusState restored = Load();
  ASSERT_EQ(restored.entries.size(), 1u);
  EXPECT_EQ(restored.entries[0].index, 10u);
}

TEST_F(AStore, DropsALogThatDiffersFromTheSnapshot) {
  {
    EntryStore store(folder_, "g-");
    RestoredConsensusState restored;
    ASSERT_FALSE(store.Load(restored));
    ASSERT_FALSE(store.SaveVote({2, std::nullopt}));
    store.Append({{1, 1, EntryKind::kCommand, "x"},
                  {1, 2, EntryKind::kCommand, "never committed"}});
    store.Sync();
  }
  AppendRecord(EncodeSnapshot({1, 2, {}, "state"}),
               folder_.ContentOf("g-snapshot"));
  EXPECT_TRUE(Load().entries.empty());
}

}  // namespace
}  // namespace hibiscusglade
