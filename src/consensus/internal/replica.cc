#include "consensus/replica.h"

#include <deque>
#include <map>
#include <random>
#include <utility>

#include "base/base_result_codes.h"
#include "base/log.h"
#include "consensus/consensus_codec.h"
#include "consensus/consensus_result_codes.h"
#include "consensus/internal/entry_store.h"
#include "consensus/internal/record_format.h"

namespace hibiscusglade {
namespace {

constexpr char kIdentityFile[] = "identity";
constexpr Duration kJoinInterval = std::chrono::milliseconds(500);
constexpr Duration kProposalTimeout = std::chrono::seconds(5);
constexpr uint64_t kCompactionBytes = 1U << 20U;
/// Applying this many changes of a large document again after a restart takes
/// a third of a second on the smallest machines.
constexpr uint64_t kCompactionEntries = 96;
/// A shorter log than this is read in no time, whatever it holds.
constexpr uint64_t kLeastCompactionBytes = 64U << 10U;
/// A change of a document of 350 routes takes some 20 ms on the smallest
/// machines; heartbeats leave each 100 ms.
constexpr size_t kMaxAppliedPerTurn = 2;

struct OpenProposal {
  Term term;
  Instant deadline;
  ReplicaCallback done;
};

struct OpenRead {
  std::string query;
  Instant deadline;
  ReplicaCallback done;
};

class ReplicaImpl : public Replica {
 public:
  ReplicaImpl(Member self, std::vector<Member> known, EntryStore store,
              std::unique_ptr<ConsensusNode> node, ConsensusLink& link,
              ReplicatedState& state, LogIndex applied)
      : self_(std::move(self)),
        known_(std::move(known)),
        store_(std::move(store)),
        node_(std::move(node)),
        link_(link),
        state_(state),
        applied_(applied) {}

  void OnTick(Instant now) override {
    ExpireCallbacks(now);
    if (failure_ || storage_full_) return;
    Absorb(node_->OnTick(now));
    AskToJoin(now);
  }

  void OnMessage(const ConsensusMessage& message, Instant now) override {
    if (failure_ || storage_full_) return;
    Absorb(node_->OnMessage(message, now));
  }

  void Propose(std::string command, Instant now,
               ReplicaCallback done) override {
    ConsensusEffects effects;
    std::optional<std::pair<Term, LogIndex>> place;
    if (!failure_ && !storage_full_) {
      place =
          node_->Propose(EntryKind::kCommand, std::move(command), now, effects);
    }
    if (!place.has_value()) {
      done({ConsensusCode::kNotLeader, ""});
      return;
    }
    auto earlier = proposals_.extract(place->second);
    proposals_[place->second] = {place->first, now + kProposalTimeout,
                                 std::move(done)};
    Absorb(std::move(effects));
    // A proposal of an earlier leadership stood at this place.
    if (earlier) earlier.mapped().done({ConsensusCode::kOutcomeUnknown, ""});
  }

  void Read(std::string query, Instant now, ReplicaCallback done) override {
    ConsensusEffects effects;
    const uint64_t read = ++last_read_;
    if (failure_ || storage_full_ || !node_->RequestRead(read, now, effects)) {
      done({ConsensusCode::kNotLeader, ""});
      return;
    }
    reads_[read] = {std::move(query), now + kProposalTimeout, std::move(done)};
    Absorb(std::move(effects));
  }

  void Flush(Instant now) override {
    while (!failure_ && HasPending()) {
      ConsensusEffects effects = std::move(pending_);
      pending_ = {};
      if (std::error_code error = Persist(effects)) {
        pending_ = std::move(effects);
        OnStorageError(error);
        return;
      }
      if (storage_full_) {
        storage_full_ = false;
        Log(LogLevel::kWarning, "consensus", "The replica can write again.");
      }
      for (const ConsensusMessage& message : effects.send) SendOut(message);
      Absorb(node_->OnSynced(now));
      for (LogEntry& entry : effects.committed) {
        committed_.push_back(std::move(entry));
      }
      for (const ReadGrant& grant : effects.reads) {
        if (!grant.granted) AnswerRead(grant);
        if (grant.granted) granted_.push_back(grant);
      }
    }
    ApplySome();
    TellChanges();
  }

  bool Busy() const override { return !committed_.empty(); }

  const ConsensusNode& Node() const override { return *node_; }

  void SetKnown(std::vector<Member> known) override {
    known_ = std::move(known);
  }

  std::string LeaderAddress() const override {
    if (failure_ || storage_full_) return "";
    auto leader = node_->Leader();
    return leader.has_value() ? AddressOf(*leader) : "";
  }

  std::error_code Failure() const override { return failure_; }

 private:
  /// A full disk leaves what is stored as it was: nothing is sent, and the
  /// write is tried again. After any other error it is not known what the disk
  /// holds.
  void OnStorageError(std::error_code error) {
    if (error == BaseCode::kFileUnwritable) {
      if (!storage_full_) {
        Log(LogLevel::kError, "consensus",
            "The replica pauses: " + error.message() + ".");
      }
      storage_full_ = true;
      return;
    }
    failure_ = error;
    Log(LogLevel::kError, "consensus",
        "The replica stops: " + error.message() + ".");
    ExpireCallbacks(Instant::max());
  }

  /// A replica that starts again has all its log to apply. It does so by and
  /// by, so that heartbeats leave in time meanwhile.
  void ApplySome() {
    for (size_t i = 0; i < kMaxAppliedPerTurn && !committed_.empty(); ++i) {
      const LogEntry entry = std::move(committed_.front());
      committed_.pop_front();
      Apply(entry);
    }
    std::vector<ReadGrant> early;
    for (const ReadGrant& grant : std::exchange(granted_, {})) {
      if (grant.index > applied_ && Busy()) {
        early.push_back(grant);
      } else {
        AnswerRead(grant);
      }
    }
    // Answers may have led to further grants.
    granted_.insert(granted_.begin(), early.begin(), early.end());
    if (!failure_) CompactIfLarge();
  }

  /// Writes down who leads and who belongs to the group, when that changes.
  void TellChanges() {
    const ReplicaRole role = node_->Role();
    const std::string leader = LeaderAddress();
    if (role == told_role_ && leader == told_leader_ &&
        node_->Members() == told_members_) {
      return;
    }
    told_role_ = role;
    told_leader_ = leader;
    told_members_ = node_->Members();
    Log(LogLevel::kInfo, "consensus",
        "The replica is " + NameOf(role) + " in term " +
            std::to_string(node_->CurrentTerm()) + ", committed through " +
            std::to_string(node_->CommitIndex()) + ", leader " +
            (leader.empty() ? "unknown" : leader) + ", members " +
            MembersText() + ".");
  }

  std::string MembersText() const {
    std::string text;
    for (const Member& member : node_->Members()) {
      if (!text.empty()) text += ", ";
      text += member.id.instance + (member.voter ? "" : " (no vote)");
    }
    return text;
  }

  bool HasPending() const { return pending_ != ConsensusEffects{}; }

  void Absorb(ConsensusEffects effects) {
    if (effects.vote.has_value()) pending_.vote = effects.vote;
    if (effects.install.has_value()) {
      pending_.install = std::move(effects.install);
      pending_.append.clear();
      pending_.committed.clear();
    }
    auto move_all = [](auto& from, auto& to) {
      for (auto& item : from) to.push_back(std::move(item));
    };
    move_all(effects.append, pending_.append);
    move_all(effects.send, pending_.send);
    move_all(effects.committed, pending_.committed);
    move_all(effects.reads, pending_.reads);
  }

  std::error_code Persist(const ConsensusEffects& effects) {
    std::error_code error;
    if (effects.vote.has_value()) error = store_.SaveVote(*effects.vote);
    if (error) return error;
    if (effects.install.has_value()) {
      if (!state_.Restore(effects.install->state)) {
        return BaseCode::kFileDamaged;
      }
      applied_ = effects.install->last_index;
      error = store_.SaveSnapshot(*effects.install, effects.append);
      return error;
    }
    if (effects.append.empty()) return {};
    error = store_.Append(effects.append);
    return error ? error : store_.Sync();
  }

  void SendOut(const ConsensusMessage& message) {
    std::string address = AddressOf(message.to);
    if (!address.empty()) link_.SendConsensus(address, message);
  }

  std::string AddressOf(const MemberId& id) const {
    for (const Member& member : node_->Members()) {
      if (member.id == id) return member.address;
    }
    // A replica that has not been taken in yet holds no members.
    for (const Member& member : known_) {
      if (member.id.instance == id.instance) return member.address;
    }
    return "";
  }

  void Apply(const LogEntry& entry) {
    if (entry.index <= applied_) return;
    applied_ = entry.index;
    std::string result;
    if (entry.kind == EntryKind::kCommand) result = state_.Apply(entry.command);
    auto open = proposals_.find(entry.index);
    if (open == proposals_.end()) return;
    OpenProposal proposal = std::move(open->second);
    proposals_.erase(open);
    if (proposal.term == entry.term) {
      proposal.done({{}, std::move(result)});
    } else {
      // Another entry took the place, so this proposal never commits.
      proposal.done({ConsensusCode::kNotLeader, ""});
    }
  }

  void AnswerRead(const ReadGrant& grant) {
    auto open = reads_.find(grant.read);
    if (open == reads_.end()) return;
    OpenRead read = std::move(open->second);
    reads_.erase(open);
    if (!grant.granted) {
      read.done({ConsensusCode::kNotLeader, ""});
      return;
    }
    read.done({{}, state_.Read(read.query)});
  }

  void ExpireCallbacks(Instant now) {
    auto expire = [now](auto& open, ConsensusCode code) {
      for (auto item = open.begin(); item != open.end();) {
        if (item->second.deadline > now) {
          ++item;
          continue;
        }
        ReplicaCallback done = std::move(item->second.done);
        item = open.erase(item);
        done({code, ""});
      }
    };
    expire(proposals_, ConsensusCode::kOutcomeUnknown);
    expire(reads_, ConsensusCode::kNoQuorum);
  }

  void AskToJoin(Instant now) {
    // Without a leader a member may have been replaced without learning it.
    const bool may_be_no_member =
        node_->Role() == ReplicaRole::kNonVoter || !node_->Leader().has_value();
    if (!may_be_no_member || now < next_join_) return;
    next_join_ = now + kJoinInterval;
    for (const Member& member : known_) {
      if (member.address == self_.address) continue;
      ConsensusMessage message{self_.id, {}, 0, JoinRequest{self_}};
      link_.SendConsensus(member.address, message);
    }
  }

  void CompactIfLarge() {
    const LogIndex kept = node_->LastSnapshot().last_index;
    if (applied_ <= kept) return;
    const bool many = applied_ - kept >= kCompactionEntries &&
                      store_.LogBytes() >= kLeastCompactionBytes;
    if (!many && store_.LogBytes() < kCompactionBytes) return;
    node_->Compact(applied_, state_.Snapshot());
    // Entries that are not synced yet are written once more by a later turn,
    // which replaces them by themselves.
    std::error_code error = store_.SaveSnapshot(node_->LastSnapshot(),
                                                node_->EntriesAfterSnapshot());
    // On a full disk the log merely stays longer than needed.
    if (error && error != BaseCode::kFileUnwritable) OnStorageError(error);
  }

  Member self_;
  std::vector<Member> known_;
  EntryStore store_;
  std::unique_ptr<ConsensusNode> node_;
  ConsensusLink& link_;
  ReplicatedState& state_;
  LogIndex applied_;

  ConsensusEffects pending_;
  std::deque<LogEntry> committed_;  ///< To apply, in order.
  std::vector<ReadGrant> granted_;  ///< To answer once that is applied.
  std::map<LogIndex, OpenProposal> proposals_;
  std::map<uint64_t, OpenRead> reads_;
  uint64_t last_read_ = 0;
  Instant next_join_;
  bool storage_full_ = false;
  std::error_code failure_;
  std::optional<ReplicaRole> told_role_;
  std::string told_leader_;
  std::vector<Member> told_members_;
};

std::error_code SaveIdentity(DataFolder& folder, const std::string& name,
                             const ReplicaIdentity& identity) {
  std::string record;
  AppendRecord(EncodeIdentity(identity), record);
  return folder.WriteAtomically(name, record);
}

std::optional<ReplicaIdentity> LoadIdentity(DataFolder& folder,
                                            const std::string& name,
                                            std::error_code& error) {
  auto content = folder.Read(name, error);
  if (!content.has_value()) return std::nullopt;
  std::string_view rest = *content;
  auto bytes = TakeRecord(rest);
  auto identity = bytes.has_value() ? DecodeIdentity(*bytes) : std::nullopt;
  if (!identity.has_value()) error = BaseCode::kFileDamaged;
  return identity;
}

uint64_t NewIdentity() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32U) | device() | 1U;
}

}  // namespace

std::error_code FoundReplica(DataFolder& folder, const std::string& instance,
                             const std::vector<Member>& founders) {
  if (!folder.Names().empty()) return ConsensusCode::kFolderNotEmpty;
  return SaveIdentity(folder, kIdentityFile, {{instance, 0}, founders});
}

std::unique_ptr<Replica> OpenReplica(
    DataFolder& folder, const std::string& prefix, const Member& self,
    const std::vector<Member>& known, const ConsensusTimes& times,
    ConsensusLink& link, ReplicatedState& state, uint64_t seed, Instant now,
    std::error_code& error) {
  // A group whose files were damaged has an identity of its own since then.
  const std::string own_identity_file = prefix + kIdentityFile;
  auto identity = LoadIdentity(folder, own_identity_file, error);
  if (!error && !identity.has_value()) {
    identity = LoadIdentity(folder, kIdentityFile, error);
  }
  if (error) return nullptr;
  auto renew_identity = [&](const std::string& name) {
    identity = ReplicaIdentity{{self.id.instance, NewIdentity()}, {}};
    return SaveIdentity(folder, name, *identity);
  };
  if (!identity.has_value()) error = renew_identity(kIdentityFile);
  if (error) return nullptr;
  if (identity->id.instance != self.id.instance) {
    error = ConsensusCode::kWrongInstance;
    return nullptr;
  }
  EntryStore store(folder, prefix);
  ConsensusRestored restored;
  error = store.Load(restored);
  if (error == ConsensusCode::kLogDamaged) {
    Log(LogLevel::kError, "consensus",
        "The files " + prefix +
            "* are damaged; the replica joins as a new member.");
    // The identity comes first: damaged files must never be used under it.
    error = renew_identity(own_identity_file);
    if (!error) error = store.Remove();
    restored = {};
    if (!error) error = store.Load(restored);
  }
  if (error) return nullptr;
  restored.founders = identity->founders;
  LogIndex applied = 0;
  if (restored.snapshot.has_value()) {
    applied = restored.snapshot->last_index;
    if (!state.Restore(restored.snapshot->state)) {
      error = BaseCode::kFileDamaged;
      return nullptr;
    }
  }
  Member own = self;
  own.id = identity->id;
  auto node = MakeConsensusNode(own.id, times, std::move(restored), seed, now);
  return std::make_unique<ReplicaImpl>(own, known, std::move(store),
                                       std::move(node), link, state, applied);
}

}  // namespace hibiscusglade
