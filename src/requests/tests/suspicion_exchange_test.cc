#include "requests/internal/suspicion_exchange.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>

#include "versions/config_reader.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {
namespace {

struct SentMessage {
  std::string from;
  std::string to;
  wire::Envelope message;
};

/// Queues the messages of one daemon.
class FakeTransport : public PeerTransport {
 public:
  FakeTransport(std::string self, std::deque<SentMessage>& sent)
      : self_(std::move(self)), sent_(sent) {}
  std::error_code Listen(const std::string&) override { return {}; }
  void SetReceiver(Receiver) override {}
  std::error_code Send(const std::string& address,
                       wire::Envelope& message) override {
    sent_.push_back({self_, address, message});
    return {};
  }
  std::error_code Reply(const ReturnPath& path,
                        wire::Envelope& message) override {
    return Send(path, message);
  }
  void Reset(const std::string&) override {}
  void Poll(int, Duration) override {}
  size_t OpenConnections() const override { return 0; }

 private:
  const std::string self_;
  std::deque<SentMessage>& sent_;
};

struct Daemon {
  Daemon(const std::string& name, std::deque<SentMessage>& sent,
         const RouteTableHolder& routes)
      : transport(name, sent),
        exchange(name, *quarantine, routes, transport,
                 [this](bool hold, Instant) { held = hold; }) {}

  std::unique_ptr<Quarantine> quarantine = MakeQuarantine();
  FakeTransport transport;
  bool held = false;
  SuspicionExchange exchange;
};

class OwnersOfAService : public testing::Test {
 protected:
  OwnersOfAService() {
    std::vector<InstanceRecord> records;
    for (const char* name : {"a", "b", "c", "d"}) {
      InstanceRecord record;
      record.instance = record.request_address = record.failure_domain = name;
      record.service = "orders";
      records.push_back(record);
      Restart(name);
    }
    std::vector<SettingsFault> faults;
    routes_.Publish(std::make_shared<const RouteTable>(
        MakeConfigVersion(1, 0, "{}", "", faults), records));
  }

  void Restart(const std::string& name) {
    daemons_[name] = std::make_unique<Daemon>(name, sent_, routes_);
  }

  void Announce(const std::string& name, int64_t started_at_ms) {
    UpstreamAnnouncement upstream;
    upstream.service = "orders";
    upstream.started_at_ms = started_at_ms;
    daemons_[name]->exchange.OnLocalUpstream(upstream, now_);
  }

  void Crash(const std::string& name) {
    daemons_[name]->exchange.Spread(
        "orders", daemons_[name]->quarantine->OnUpstreamDeath({kBad}, 1, now_));
    Deliver();
  }

  void Deliver() {
    for (; !sent_.empty(); sent_.pop_front()) {
      const SentMessage next = sent_.front();
      // An answer comes back on the connection of the daemon that asked.
      const bool answer = next.message.has_suspicion_list();
      EXPECT_TRUE(daemons_[next.to]->exchange.OnPeerMessage(
          answer ? next.from : "", answer ? "" : next.from, next.message,
          now_));
    }
  }

  QuarantineDecision Decide(const std::string& name) {
    return daemons_[name]->quarantine->Decide(kBad, now_);
  }

  static constexpr Digest kBad = 7;
  Instant now_{std::chrono::seconds(1000)};
  RouteTableHolder routes_;
  std::deque<SentMessage> sent_;
  std::map<std::string, std::unique_ptr<Daemon>> daemons_;
};

TEST_F(OwnersOfAService, TellARestartedOneBeforeAnythingRunsThere) {
  Crash("a");
  Crash("b");
  Restart("c");
  Announce("c", 1);
  EXPECT_TRUE(daemons_["c"]->held);
  Deliver();
  EXPECT_FALSE(daemons_["c"]->held);
  EXPECT_EQ(Decide("c"), QuarantineDecision::kRefuse);
}

TEST_F(OwnersOfAService, AreAskedAgainOnlyForANewUpstream) {
  Announce("c", 1);
  Deliver();
  Announce("c", 1);
  EXPECT_TRUE(sent_.empty());
  Announce("c", 2);
  EXPECT_EQ(sent_.size(), 3u);
}

TEST_F(OwnersOfAService, LetAnUpstreamRunWhenNoneOfThemAnswers) {
  Announce("c", 1);
  now_ += std::chrono::milliseconds(300);
  daemons_["c"]->exchange.OnTick(now_);
  EXPECT_FALSE(daemons_["c"]->held);
}

/// A daemon of an earlier release, or a list that was lost.
TEST_F(OwnersOfAService, TellOneThatReportsLessThanTheyKnow) {
  Crash("a");
  Crash("b");
  Restart("c");
  Crash("c");
  EXPECT_EQ(Decide("c"), QuarantineDecision::kRefuse);
}

}  // namespace
}  // namespace hibiscusglade
