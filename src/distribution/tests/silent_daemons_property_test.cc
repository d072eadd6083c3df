#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <set>

#include "distribution/tests/ask_directories.h"
#include "distribution/tests/versions.h"
#include "distribution/version_follower.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kDomains = 3;
constexpr size_t kDaemonsPerDomain = 7;
constexpr size_t kDaemons = kDomains * kDaemonsPerDomain;
/// The first two on the ring of each failure domain.
constexpr size_t kRelays = 2;
/// The last one on each ring runs a replica.
constexpr size_t kReplicaPlace = kDaemonsPerDomain - 1;

constexpr milliseconds kTick{50};
constexpr milliseconds kLinkDelay{5};
/// A change must be in force within this time.
constexpr milliseconds kInForce{2000};
/// The same when nobody who has the change is a replica: the other daemons of
/// two failure domains are asked in turn.
constexpr seconds kInForceFromAnyDaemon{45};

/// A mesh of three failure domains with a replica each. Views do not change:
/// silent daemons remain peers and relays. An address is the daemon's number.
class SimulatedMesh {
 public:
  SimulatedMesh() {
    for (size_t i = 0; i < kDaemons; ++i) {
      directories_.emplace_back(DirectoryOf(i));
      FollowerConfig config;
      config.instance = std::to_string(i);
      config.failure_domain = std::to_string(i / kDaemonsPerDomain);
      config.replica = IsReplica(i);
      followers_.push_back(
          MakeVersionFollower(config, i + 1, now_, directories_.back()));
      followers_.back()->SetPeers(PeersOf(i));
      followers_.back()->OnLatestRead(0, now_, now_);
    }
  }

  static bool IsReplica(size_t i) {
    return i % kDaemonsPerDomain == kReplicaPlace;
  }
  static bool IsRelay(size_t i) { return i % kDaemonsPerDomain < kRelays; }

  void Silence(const std::set<size_t>& daemons) { silent_ = daemons; }

  void Commit(size_t at) {
    committed_ = 1;
    Send(at, followers_[at]->OnCommitted(VersionOne(), now_));
  }

  /// @param quorum whether the replicas have a leader.
  void Run(Duration length, bool quorum) {
    for (const Instant end = now_ + length; now_ < end; now_ += kTick) {
      for (size_t i = 0; i < kDaemons; ++i) {
        if (silent_.contains(i)) continue;
        const FollowerEffects effects = followers_[i]->OnTick(now_);
        Send(i, effects);
        if (!effects.read_latest || !quorum) continue;
        Send(i, followers_[i]->OnLatestRead(committed_, now_, now_));
      }
      Deliver();
    }
  }

  /// @return the daemons that run and do not have the committed version.
  std::vector<size_t> Behind() const {
    std::vector<size_t> behind;
    for (size_t i = 0; i < kDaemons; ++i) {
      const bool has = followers_[i]->InUse()->number == committed_;
      if (!has && !silent_.contains(i)) behind.push_back(i);
    }
    return behind;
  }

 private:
  struct Message {
    Instant arrives_at;
    size_t from;
    size_t to;
    DistributionMessage body;
  };

  static size_t DomainOf(size_t i) { return i / kDaemonsPerDomain; }

  static FixedAskDirectory DirectoryOf(size_t self) {
    FixedAskDirectory::Addresses addresses;
    for (size_t offset = 1; offset < kDaemons; ++offset) {
      const size_t i = (self + offset) % kDaemons;
      const std::string address = std::to_string(i);
      if (IsReplica(i)) addresses[AskScope::kReplicas].push_back(address);
      if (DomainOf(i) != DomainOf(self)) {
        addresses[AskScope::kOtherDomains].push_back(address);
        continue;
      }
      addresses[AskScope::kOwnDomain].push_back(address);
      if (IsRelay(i)) addresses[AskScope::kOwnRelays].push_back(address);
    }
    return FixedAskDirectory(addresses);
  }

  static DistributionPeer PeerAt(size_t i) {
    const std::string name = std::to_string(i);
    return {name, std::to_string(DomainOf(i)), name, IsReplica(i)};
  }

  static std::vector<DistributionPeer> PeersOf(size_t self) {
    const size_t first = DomainOf(self) * kDaemonsPerDomain;
    std::vector<DistributionPeer> peers;
    for (size_t distance = 1; distance < kDaemonsPerDomain; distance *= 2) {
      peers.push_back(
          PeerAt(first + (self - first + distance) % kDaemonsPerDomain));
    }
    if (!IsRelay(self)) return peers;
    for (size_t i = 0; i < kDaemons; ++i) {
      if (IsRelay(i) && DomainOf(i) != DomainOf(self)) {
        peers.push_back(PeerAt(i));
      }
    }
    return peers;
  }

  void Send(size_t from, const FollowerEffects& effects) {
    for (const DistributionSend& sent : effects.send) {
      queue_.push_back(
          {now_ + kLinkDelay, from, std::stoul(sent.address), sent.message});
    }
  }

  void Deliver() {
    const Instant tick = now_;
    while (!queue_.empty() && queue_.front().arrives_at < tick + kTick) {
      Message message = queue_.front();
      queue_.pop_front();
      if (silent_.contains(message.to) || silent_.contains(message.from)) {
        continue;
      }
      if (auto* notice = std::get_if<VersionNotice>(&message.body)) {
        notice->same_domain = DomainOf(message.from) == DomainOf(message.to);
      }
      now_ = message.arrives_at;
      VersionFollower& receiver = *followers_[message.to];
      Send(message.to, receiver.OnMessage(std::to_string(message.from),
                                          message.body, now_));
      Send(message.to, receiver.ApplyReceived(now_));
    }
    now_ = tick;
  }

  Instant now_ = Instant(seconds(1000));
  std::deque<FixedAskDirectory> directories_;
  std::vector<std::unique_ptr<VersionFollower>> followers_;
  std::deque<Message> queue_;
  std::set<size_t> silent_;
  uint64_t committed_ = 0;
};

std::set<size_t> RandomDaemons() {
  return *rc::gen::container<std::set<size_t>>(
      rc::gen::inRange<size_t>(0, kDaemons));
}

void RunSomeTime(SimulatedMesh& mesh, bool quorum) {
  mesh.Run(kTick * *rc::gen::inRange(20, 60), quorum);
}

RC_GTEST_PROP(AMeshWithSilentDaemons, HasAChangeInForceInTime, ()) {
  SimulatedMesh mesh;
  RunSomeTime(mesh, true);
  std::set<size_t> silent = RandomDaemons();
  // A majority of the replicas runs.
  const auto silent_replica = *rc::gen::inRange<size_t>(0, kDomains);
  for (size_t domain = 0; domain < kDomains; ++domain) {
    const size_t replica = domain * kDaemonsPerDomain + kReplicaPlace;
    if (domain != silent_replica) silent.erase(replica);
  }
  mesh.Silence(silent);
  RunSomeTime(mesh, true);
  for (size_t i = 0; i < kDaemons; ++i) {
    if (SimulatedMesh::IsReplica(i) && !silent.contains(i)) mesh.Commit(i);
  }
  mesh.Run(kInForce, true);
  RC_ASSERT(mesh.Behind() == std::vector<size_t>());
}

RC_GTEST_PROP(AMeshWithSilentDaemons, LearnsOfAChangeFromAnyDaemonThatHasIt,
              ()) {
  SimulatedMesh mesh;
  RunSomeTime(mesh, true);
  std::set<size_t> silent = RandomDaemons();
  const auto holder = *rc::gen::inRange<size_t>(0, kDaemons);
  silent.erase(holder);
  mesh.Silence(silent);
  mesh.Commit(holder);
  mesh.Run(kInForceFromAnyDaemon, false);
  RC_ASSERT(mesh.Behind() == std::vector<size_t>());
}

}  // namespace
}  // namespace hibiscusglade
