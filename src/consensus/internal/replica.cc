#include "consensus/replica.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "base/base_result_codes.h"
#include "base/log.h"
#include "consensus/consensus_codec.h"
#include "consensus/consensus_result_codes.h"
#include "consensus/internal/entry_store.h"
#include "consensus/internal/record_format.h"
#include "consensus/internal/replica_reporter.h"

namespace hibiscusglade {
namespace {

constexpr char kIdentityFile[] = "identity";
constexpr Duration kJoinInterval = std::chrono::milliseconds(500);
constexpr Duration kProposalTimeout = std::chrono::seconds(5);
/// After a restart all entries of the log are applied again before the latest
/// version can be used. A change of a document of 66 KB has some 16 KB in the
/// log and takes 15 to 30 ms on the smallest machines: both limits keep the
/// whole below half a second.
constexpr uint64_t kCompactionBytes = 256U << 10U;
constexpr uint64_t kCompactionEntries = 16;
/// A log shorter than this is read in negligible time, whatever its entries.
constexpr uint64_t kMinCompactionBytes = 64U << 10U;
/// Applying a change to a document of 350 routes takes some 20 ms on the
/// smallest machines, and heartbeats must be sent every 100 ms.
constexpr size_t kMaxAppliedPerFlush = 2;

struct PendingProposal {
  Term term;
  Instant deadline;
  ReplicaCallback done;
};

struct PendingRead {
  std::string query;
  Instant deadline;
  ReplicaCallback done;
};

class ReplicaImpl : public Replica {
 public:
  ReplicaImpl(Member self, std::vector<Member> known_replicas, EntryStore store,
              std::unique_ptr<ConsensusNode> node,
              ConsensusTransport& transport, ReplicatedState& state,
              LogIndex applied)
      : self_(std::move(self)),
        known_replicas_(std::move(known_replicas)),
        store_(std::move(store)),
        node_(std::move(node)),
        transport_(transport),
        state_(state),
        applied_(applied) {}

  void OnTick(Instant now) override {
    ExpireCallbacks(now);
    if (failure_ || storage_full_) return;
    if (!std::exchange(start_announced_, true)) {
      MergeEffects(node_->AnnounceStart());
    }
    MergeEffects(node_->OnTick(now));
    RequestToJoin(now);
  }

  void OnMessage(const ConsensusMessage& message, Instant now) override {
    if (failure_ || storage_full_) return;
    if (const auto* join = std::get_if<JoinRequest>(&message.body)) {
      last_addresses_[join->member.id.instance] = join->member.address;
    }
    MergeEffects(node_->OnMessage(message, now));
  }

  void Propose(std::string command, Instant now,
               ReplicaCallback done) override {
    ConsensusEffects effects;
    std::optional<std::pair<Term, LogIndex>> position;
    if (!failure_ && !storage_full_) {
      position =
          node_->Propose(EntryKind::kCommand, std::move(command), now, effects);
    }
    if (!position.has_value()) {
      done({ConsensusCode::kNotLeader, ""});
      return;
    }
    auto displaced = proposals_.extract(position->second);
    proposals_[position->second] = {position->first, now + kProposalTimeout,
                                    std::move(done)};
    MergeEffects(std::move(effects));
    // A proposal from an earlier term as leader was at this index.
    if (displaced)
      displaced.mapped().done({ConsensusCode::kOutcomeUnknown, ""});
  }

  void Read(std::string query, Instant now, ReplicaCallback done) override {
    ConsensusEffects effects;
    const uint64_t read = ++last_read_;
    if (failure_ || storage_full_ || !node_->RequestRead(read, now, effects)) {
      done({ConsensusCode::kNotLeader, ""});
      return;
    }
    reads_[read] = {std::move(query), now + kProposalTimeout, std::move(done)};
    MergeEffects(std::move(effects));
  }

  void Flush(Instant now) override {
    while (!failure_ && HasPending()) {
      ConsensusEffects effects = std::move(pending_effects_);
      pending_effects_ = {};
      if (std::error_code error = Persist(effects)) {
        pending_effects_ = std::move(effects);
        OnStorageError(error);
        return;
      }
      if (storage_full_) {
        storage_full_ = false;
        Log(LogLevel::kWarning, "consensus",
            "The replica can write again and resumes.");
      }
      for (const ConsensusMessage& message : effects.send) SendMessage(message);
      MergeEffects(node_->OnSynced(now));
      for (LogEntry& entry : effects.committed) {
        committed_.push_back(std::move(entry));
      }
      for (const ReadGrant& grant : effects.reads) {
        if (!grant.granted) AnswerRead(grant);
        if (grant.granted) granted_.push_back(grant);
      }
    }
    ApplyBatch();
    if (reporter_.Report(*node_, LeaderAddress())) RememberAddresses();
    if (leaving_ && HasLeft()) reporter_.ReportLeft(*node_);
  }

  bool HasUnappliedEntries() const override { return !committed_.empty(); }

  const ConsensusNode& Node() const override { return *node_; }

  void Leave(Instant now) override {
    if (!std::exchange(leaving_, true)) {
      Log(LogLevel::kInfo, "consensus",
          "The replica asks its group to do without it.");
    }
    if (!failure_ && !storage_full_) MergeEffects(node_->Leave(now));
  }

  bool HasLeft() const override {
    return failure_ || storage_full_ || node_->HasLeft();
  }

  void SetKnownReplicas(std::vector<Member> known_replicas) override {
    known_replicas_ = std::move(known_replicas);
  }

  std::string LeaderAddress() const override {
    if (failure_ || storage_full_) return "";
    auto leader = node_->Leader();
    return leader.has_value() ? AddressOf(*leader) : "";
  }

  std::error_code Failure() const override { return failure_; }

 private:
  /// After a failed write (kFileUnwritable, e.g. on a full disk) the stored
  /// data is unchanged: the replica pauses, sends nothing and retries the
  /// write. After any other error the content of the disk is unknown, so the
  /// replica stops.
  void OnStorageError(std::error_code error) {
    if (error == BaseCode::kFileUnwritable) {
      if (!storage_full_) {
        Log(LogLevel::kError, "consensus",
            "The replica pauses until it can write: " + error.message() + ".");
      }
      storage_full_ = true;
      return;
    }
    failure_ = error;
    Log(LogLevel::kError, "consensus",
        "The replica stops after a storage error: " + error.message() + ".");
    ExpireCallbacks(Instant::max());
  }

  /// Applies a bounded number of committed entries. A restarted replica may
  /// have its whole log to apply, and heartbeats must still be sent in time.
  void ApplyBatch() {
    for (size_t i = 0; i < kMaxAppliedPerFlush && !committed_.empty(); ++i) {
      const LogEntry entry = std::move(committed_.front());
      committed_.pop_front();
      Apply(entry);
    }
    std::vector<ReadGrant> not_yet_applied;
    for (const ReadGrant& grant : std::exchange(granted_, {})) {
      if (grant.index > applied_ && HasUnappliedEntries()) {
        not_yet_applied.push_back(grant);
      } else {
        AnswerRead(grant);
      }
    }
    // Callbacks of answered reads may have added grants.
    granted_.insert(granted_.begin(), not_yet_applied.begin(),
                    not_yet_applied.end());
    if (!failure_) CompactIfLarge();
  }

  void RememberAddresses() {
    for (const Member& member : node_->Members()) {
      last_addresses_[member.id.instance] = member.address;
    }
  }

  bool HasPending() const { return pending_effects_ != ConsensusEffects{}; }

  void MergeEffects(ConsensusEffects effects) {
    if (effects.vote.has_value()) pending_effects_.vote = effects.vote;
    if (effects.install.has_value()) {
      pending_effects_.install = std::move(effects.install);
      pending_effects_.append.clear();
      pending_effects_.committed.clear();
    }
    auto move_all = [](auto& from, auto& to) {
      for (auto& item : from) to.push_back(std::move(item));
    };
    move_all(effects.append, pending_effects_.append);
    move_all(effects.send, pending_effects_.send);
    move_all(effects.committed, pending_effects_.committed);
    move_all(effects.reads, pending_effects_.reads);
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

  void SendMessage(const ConsensusMessage& message) {
    std::string address = AddressOf(message.to);
    if (!address.empty()) transport_.SendConsensusMessage(address, message);
  }

  std::string AddressOf(const MemberId& id) const {
    for (const Member& member : node_->Members()) {
      if (member.id == id) return member.address;
    }
    // A replica that has not joined the group yet has no members.
    for (const Member& member : known_replicas_) {
      if (member.id.instance == id.instance) return member.address;
    }
    const auto last = last_addresses_.find(id.instance);
    return last == last_addresses_.end() ? "" : last->second;
  }

  void Apply(const LogEntry& entry) {
    if (entry.index <= applied_) return;
    applied_ = entry.index;
    std::string result;
    if (entry.kind == EntryKind::kCommand) result = state_.Apply(entry.command);
    auto pending = proposals_.find(entry.index);
    if (pending == proposals_.end()) return;
    PendingProposal proposal = std::move(pending->second);
    proposals_.erase(pending);
    if (proposal.term == entry.term) {
      proposal.done({{}, std::move(result)});
    } else {
      // An entry of another term was committed at this index, so the proposal
      // can't commit any more.
      proposal.done({ConsensusCode::kNotLeader, ""});
    }
  }

  void AnswerRead(const ReadGrant& grant) {
    auto pending = reads_.find(grant.read);
    if (pending == reads_.end()) return;
    PendingRead read = std::move(pending->second);
    reads_.erase(pending);
    if (!grant.granted) {
      read.done({ConsensusCode::kNotLeader, ""});
      return;
    }
    read.done({{}, state_.Read(read.query)});
  }

  void ExpireCallbacks(Instant now) {
    auto expire = [now](auto& pending, ConsensusCode code) {
      for (auto item = pending.begin(); item != pending.end();) {
        if (item->second.deadline > now) {
          ++item;
          continue;
        }
        ReplicaCallback done = std::move(item->second.done);
        item = pending.erase(item);
        done({code, ""});
      }
    };
    expire(proposals_, ConsensusCode::kOutcomeUnknown);
    expire(reads_, ConsensusCode::kNoQuorum);
  }

  void RequestToJoin(Instant now) {
    // A member without a leader may have been removed without being notified.
    const bool may_be_removed =
        node_->Role() == ReplicaRole::kNonVoter || !node_->Leader().has_value();
    if (leaving_ || !may_be_removed || now < next_join_) return;
    next_join_ = now + kJoinInterval;
    std::set<std::string> addresses;
    for (const Member& member : known_replicas_) {
      addresses.insert(member.address);
    }
    // The leader may be none of the replicas that the settings name.
    for (const Member& member : node_->Members()) {
      addresses.insert(member.address);
    }
    addresses.erase(self_.address);
    const ConsensusMessage message{self_.id, {}, 0, JoinRequest{self_}};
    for (const std::string& address : addresses) {
      transport_.SendConsensusMessage(address, message);
    }
  }

  void CompactIfLarge() {
    const LogIndex compacted = node_->LastSnapshot().last_index;
    if (applied_ <= compacted) return;
    const bool many_entries = applied_ - compacted >= kCompactionEntries &&
                              store_.LogBytes() >= kMinCompactionBytes;
    if (!many_entries && store_.LogBytes() < kCompactionBytes) return;
    node_->Compact(applied_, state_.Snapshot());
    // Entries that aren't synced yet are written here and again by a later
    // Flush(); on loading, the second copy replaces the first.
    std::error_code error = store_.SaveSnapshot(node_->LastSnapshot(),
                                                node_->EntriesAfterSnapshot());
    // If the snapshot can't be written, the log merely stays longer than
    // needed.
    if (error && error != BaseCode::kFileUnwritable) OnStorageError(error);
  }

  Member self_;
  std::vector<Member> known_replicas_;  ///< See SetKnownReplicas().
  /// Of instances that are or were members, or have requested to join.
  std::map<std::string, std::string> last_addresses_;
  EntryStore store_;
  std::unique_ptr<ConsensusNode> node_;
  ConsensusTransport& transport_;
  ReplicatedState& state_;
  LogIndex applied_;

  ConsensusEffects pending_effects_;
  std::deque<LogEntry> committed_;  ///< Not yet applied, in order.
  /// Reads to answer once `committed_` is applied through their index.
  std::vector<ReadGrant> granted_;
  std::map<LogIndex, PendingProposal> proposals_;
  std::map<uint64_t, PendingRead> reads_;
  uint64_t last_read_ = 0;
  Instant next_join_;
  bool start_announced_ = false;
  bool leaving_ = false;
  bool storage_full_ = false;
  std::error_code failure_;
  ReplicaReporter reporter_;
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
    const std::vector<Member>& configured, const ConsensusConfig& config,
    ConsensusTransport& transport, ReplicatedState& state, uint64_t seed,
    Instant now, std::error_code& error) {
  // After damage to its files, a group has an identity file of its own, which
  // takes precedence over the one that the folder's groups share.
  const std::string group_identity_file = prefix + kIdentityFile;
  auto identity = LoadIdentity(folder, group_identity_file, error);
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
  RestoredConsensusState restored;
  error = store.Load(restored);
  if (error == ConsensusCode::kLogDamaged) {
    Log(LogLevel::kError, "consensus",
        "The files " + prefix +
            "* are damaged; the replica joins as a new member.");
    // The identity is written before the files are removed: after a crash in
    // between, they must not be used under the old identity.
    error = renew_identity(group_identity_file);
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
  Member member = self;
  member.id = identity->id;
  auto node =
      MakeConsensusNode(member.id, config, std::move(restored), seed, now);
  return std::make_unique<ReplicaImpl>(member, configured, std::move(store),
                                       std::move(node), transport, state,
                                       applied);
}

}  // namespace hibiscusglade
