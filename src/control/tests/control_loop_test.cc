#include "control/control_loop.h"

#include <gtest/gtest.h>
#include <stdlib.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <filesystem>
#include <future>
#include <mutex>
#include <thread>

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint16_t kFirstPort = 20000;
constexpr uint16_t kPorts = 10000;
constexpr milliseconds kPollInterval{5};
constexpr char kNoConfiguration[] = "a first version to be accepted";
constexpr char kFirstPatch[] =
    R"([{"op": "add", "path": "/services/plots", "value": {}}])";

/// Stands for the request thread: applies updates only when it is told to.
class RequestsThatLag : public LocalUpstreamListener {
 public:
  void OnLocalUpstream(const std::optional<UpstreamAnnouncement>& upstream,
                       const AdmissionConfig&) override {
    Post([this, upstream] {
      state_ = upstream.has_value() ? upstream->state : UpstreamState::kNone;
    });
  }
  void AfterUpdates(std::function<void()> done) override {
    Post(std::move(done));
  }

  /// @return whether updates are waiting before the timeout.
  bool WaitForUpdates() {
    std::unique_lock<std::mutex> lock(mutex_);
    return posted_.wait_for(lock, seconds(10),
                            [this] { return !updates_.empty(); });
  }

  void ApplyUpdates() {
    std::vector<std::function<void()>> updates;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      updates.swap(updates_);
    }
    for (const std::function<void()>& update : updates) update();
  }

  UpstreamState State() const { return state_; }

 private:
  void Post(std::function<void()> update) {
    const std::lock_guard<std::mutex> lock(mutex_);
    updates_.push_back(std::move(update));
    posted_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable posted_;
  std::vector<std::function<void()>> updates_;
  std::atomic<UpstreamState> state_{UpstreamState::kNone};
};

/// One daemon that is the only replica of its mesh.
class ADaemonWithAnUpstream : public testing::Test {
 protected:
  /// Starts the daemon and announces an upstream that serves.
  void Start(Duration in_effect_timeout) {
    std::string folder = testing::TempDir() + "control-loop-XXXXXX";
    folder_ = mkdtemp(folder.data());
    // Tests run in parallel processes, so each process has a port of its own.
    const std::string address =
        "127.0.0.1:" + std::to_string(kFirstPort + getpid() % kPorts);
    ControlConfig config;
    config.identity.mesh = "test";
    config.identity.instance = "x";
    config.identity.failure_domain = "a";
    config.identity.incarnation = 1;
    config.listen_address = address;
    config.control_address = address;
    config.replicas = {{{"x", 0}, true, address, "a"}};
    config.founds_mesh = true;
    config.data_folder = folder_;
    config.in_effect_timeout = in_effect_timeout;
    loop_ = MakeControlLoop(config, clock_, *metrics_, routes_, requests_);
    EXPECT_FALSE(loop_->Start());
    const Instant end = clock_.Now() + seconds(20);
    while (loop_->Status().waiting_for != kNoConfiguration &&
           clock_.Now() < end) {
      std::this_thread::sleep_for(kPollInterval);
    }
    EXPECT_FALSE(loop_->Ready());
    EXPECT_EQ(routes_.Current(), nullptr);
    ASSERT_EQ(loop_->Propose({"first", 0, kFirstPatch, "", 0}).number, 1u);
    while (!loop_->Ready() && clock_.Now() < end) {
      std::this_thread::sleep_for(kPollInterval);
    }
    ASSERT_TRUE(loop_->Ready());
    auto serving = Announce(UpstreamState::kServing, 1);
    while (requests_.State() != UpstreamState::kServing && clock_.Now() < end) {
      requests_.ApplyUpdates();
      std::this_thread::sleep_for(kPollInterval);
    }
    ASSERT_EQ(requests_.State(), UpstreamState::kServing);
  }

  ~ADaemonWithAnUpstream() override {
    if (loop_ != nullptr) loop_->Stop();
    std::filesystem::remove_all(folder_);
  }

  /// Applies updates for a moment longer than the control thread needs.
  void Settle() {
    for (int i = 0; i < 60; ++i) {
      requests_.ApplyUpdates();
      std::this_thread::sleep_for(kPollInterval);
    }
  }

  static UpstreamAnnouncement Announcement(UpstreamState state,
                                           uint64_t sequence) {
    UpstreamAnnouncement upstream;
    upstream.service = "plots";
    upstream.address = "127.0.0.1:1";
    upstream.slots = 4;
    upstream.state = state;
    upstream.id = "i-1";
    upstream.sequence = sequence;
    return upstream;
  }

  std::future<bool> Announce(UpstreamState state, uint64_t sequence) {
    return std::async(std::launch::async, [this, state, sequence] {
      return loop_->Announce(Announcement(state, sequence));
    });
  }

  std::string folder_;
  SteadyClock clock_;
  std::unique_ptr<Metrics> metrics_ = MakeMetrics();
  RouteTableHolder routes_;
  RequestsThatLag requests_;
  std::unique_ptr<ControlLoop> loop_;
};

TEST_F(ADaemonWithAnUpstream,
       AcknowledgesADrainOnceNoRequestIsAdmittedAnyMore) {
  Start(seconds(20));
  auto draining = Announce(UpstreamState::kDraining, 2);
  ASSERT_TRUE(requests_.WaitForUpdates());
  EXPECT_EQ(draining.wait_for(milliseconds(0)), std::future_status::timeout);
  while (draining.wait_for(kPollInterval) != std::future_status::ready) {
    requests_.ApplyUpdates();
  }
  EXPECT_TRUE(draining.get());
  EXPECT_EQ(requests_.State(), UpstreamState::kDraining);
}

TEST_F(ADaemonWithAnUpstream, DoesNotAcknowledgeADrainThatIsNotInEffect) {
  Start(milliseconds(100));
  EXPECT_FALSE(loop_->Announce(Announcement(UpstreamState::kDraining, 2)));
  EXPECT_EQ(requests_.State(), UpstreamState::kServing);
}

TEST_F(ADaemonWithAnUpstream, DoesNotAcknowledgeALeaveThatIsNotInEffect) {
  Start(milliseconds(100));
  EXPECT_FALSE(loop_->Deregister("i-1", 0));
  EXPECT_EQ(requests_.State(), UpstreamState::kServing);
}

/// The owner's copy of the announcement is from before the renewal.
TEST_F(ADaemonWithAnUpstream, TakesADownReportThatIsOlderThanARenewal) {
  Start(milliseconds(100));
  Announce(UpstreamState::kServing, 2).wait();
  loop_->ReportDown(Announcement(UpstreamState::kServing, 1));
  Settle();
  EXPECT_EQ(requests_.State(), UpstreamState::kDraining);
}

TEST_F(ADaemonWithAnUpstream, DoesNotDrainTheOneThatReplacedTheOneReported) {
  Start(milliseconds(100));
  UpstreamAnnouncement next = Announcement(UpstreamState::kServing, 1);
  next.id = "i-2";
  loop_->Announce(next);
  loop_->ReportDown(Announcement(UpstreamState::kServing, 1));
  Settle();
  EXPECT_EQ(requests_.State(), UpstreamState::kServing);
}

TEST_F(ADaemonWithAnUpstream, CountsTheAnnouncementsThatItIgnores) {
  const std::string line = "hibiscusglade_announcements_ignored_total ";
  Start(milliseconds(100));
  Announce(UpstreamState::kServing, 2).wait();
  EXPECT_NE(loop_->MetricsText().find(line + "0"), std::string::npos);
  Announce(UpstreamState::kDraining, 1).wait();
  Settle();
  EXPECT_NE(loop_->MetricsText().find(line + "1"), std::string::npos);
  EXPECT_EQ(requests_.State(), UpstreamState::kServing);
}

TEST_F(ADaemonWithAnUpstream, DrainsForAnOperatorBeforeItSaysSo) {
  Start(milliseconds(100));
  EXPECT_FALSE(loop_->DrainUpstream());
  EXPECT_EQ(requests_.State(), UpstreamState::kServing);
}

}  // namespace
}  // namespace hibiscusglade
