#include "app/daemon.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <random>
#include <thread>

#include "app/internal/memory_reporter.h"
#include "app/internal/settings_watcher.h"
#include "app/internal/stop_plan.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/stop_signal.h"
#include "caller/caller_gateway.h"
#include "control/control_loop.h"
#include "http/simple_http_server.h"
#include "operator/operator_api.h"
#include "requests/request_loop.h"
#include "routing/route_table_holder.h"
#include "upstream/announcement_api.h"

namespace hibiscusglade {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitStartFailed = 1;
constexpr int kExitRequestsOpen = 3;
constexpr int kDrainPollMs = 50;
constexpr std::chrono::milliseconds kFinalAnswerPoll{10};
constexpr size_t kMaxNamedRequests = 20;
/// Interval between checks of the settings file, which may change without a
/// signal.
constexpr int kSettingsPollMs = 2000;

uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32U) | device();
}

void LogIgnoredEntries(const DaemonSettings& settings) {
  for (const SettingsFault& entry : settings.ignored_entries) {
    Log(LogLevel::kWarning, "app",
        "An entry of the settings is left out: " + entry.pointer + ": " +
            entry.message + ".");
  }
}

/// Logs the requests that a stop cut, the first ones by name.
/// @param unanswered requests of callers without a whole answer at the end.
void LogCutRequests(const std::vector<UnfinishedRequest>& cut,
                    size_t unanswered) {
  std::string names;
  for (size_t i = 0; i < std::min(cut.size(), kMaxNamedRequests); ++i) {
    const UnfinishedRequest& request = cut[i];
    names += (i == 0 ? "" : ";") + request.request_id + "," + request.route +
             ",ran_ms:" + MillisText(request.running) +
             ",left_ms:" + MillisText(request.remaining);
  }
  Log(LogLevel::kWarning, "app", "The stop cut open requests.",
      {{"count", std::to_string(cut.size())},
       {"unanswered", std::to_string(unanswered)},
       {"requests", names.empty() ? "-" : names}});
}

/// Owns all parts of the daemon. Later members depend on earlier ones.
class Daemon {
 public:
  Daemon(const DaemonSettings& settings, const ExternalInterface& external)
      : settings_(settings),
        external_(external),
        metrics_(MakeMetrics()),
        identity_{settings.mesh, settings.instance, settings.failure_domain,
                  static_cast<uint64_t>(clock_.UnixMicros()),
                  settings.peer_address},
        requests_(
            MakeRequestLoop(RequestSettings(), clock_, *metrics_, routes_)),
        control_(MakeControlLoop(ControlSettings(), clock_, *metrics_, routes_,
                                 *requests_)),
        claims_(control_->MakeClaimStore(requests_->RequestExecutor())),
        gateway_(MakeCallerGateway(CallerSettings(), requests_->Loop(), clock_,
                                   *requests_, routes_, *metrics_)),
        memory_(requests_->Loop(), clock_, [this] { return MemoryFields(); }) {}

  std::error_code Start() {
    std::error_code error;
    if (settings_.callers.port != 0) error = gateway_->Start();
    memory_.Start();
    if (!error) error = requests_->Start(*claims_, *control_);
    if (!error) error = control_->Start();
    operators_ = StartServer(
        settings_.operators,
        [this](const HttpRequest& request) {
          return external_.AnswerOperator(*control_, request);
        },
        HttpThreads::kThreadPerConnection, error);
    announcements_ = StartServer(
        settings_.announcements,
        [this](const HttpRequest& request) {
          return external_.AnswerAnnouncement(*control_, request);
        },
        HttpThreads::kThreadPerConnection, error);
    readiness_ = StartServer(
        settings_.readiness,
        [this](const HttpRequest& request) {
          return external_.AnswerReadiness(control_->Ready(), request);
        },
        HttpThreads::kSingleThread, error);
    metrics_server_ = StartServer(
        settings_.metrics,
        [this](const HttpRequest&) {
          return AnswerOperator(*control_, {"GET", "/metrics", {}, {}});
        },
        HttpThreads::kThreadPerConnection, error);
    return error;
  }

  /// Applies the settings that may change while the daemon runs.
  void Reload(const DaemonSettings& settings) {
    LogIgnoredEntries(settings);
    control_->SetSeeds(settings.seeds, settings.replicas);
  }

  /// Drains: notifies peers and callers, and takes only what ends before the
  /// stop's timeout; then refuses new requests and waits for the open ones
  /// until their deadlines. When the process is about to be killed, or at a
  /// second stop signal, open ones get a final answer.
  /// @param settings those in force for the stop.
  /// @return whether all open requests ended before the stop.
  bool Stop(const DaemonSettings& settings) {
    const StopPlan plan(settings, clock_.Now());
    control_->BeginStop();
    requests_->BeginStop(plan.AdmissionEnd());
    requests_->RequestExecutor().Post(
        [this] { gateway_->CloseAfterAnswers(); });
    Instant latest_deadline = requests_->LatestDeadline();
    std::this_thread::sleep_for(plan.NoticeEnd() - clock_.Now());
    requests_->Drain();
    bool idle = false;
    do {
      // The caller of a request may still read when the request has ended.
      latest_deadline = std::max(latest_deadline, requests_->LatestDeadline());
      idle = Idle();
    } while (!idle && clock_.Now() < plan.End(latest_deadline) &&
             !WaitForStopSignal(kDrainPollMs));
    if (!idle) EndOpenRequests(plan.FinalAnswerTime());
    metrics_server_.reset();
    readiness_.reset();
    operators_.reset();
    announcements_.reset();
    requests_->Stop();
    gateway_.reset();
    control_->Stop();
    return idle;
  }

 private:
  /// @return whether no request is open and all answers to callers were sent.
  bool Idle() { return requests_->Idle() && OpenExchanges() == 0; }

  size_t OpenExchanges() {
    return RunAndWait(requests_->RequestExecutor(),
                      [this] { return gateway_->Usage().exchanges; });
  }

  /// Ends what is open and gives the final answers time to be sent.
  void EndOpenRequests(Duration final_answer_time) {
    const std::vector<UnfinishedRequest> cut = requests_->CutOpenRequests();
    const Instant end = clock_.Now() + final_answer_time;
    while (clock_.Now() < end &&
           (OpenExchanges() > 0 || requests_->HasUnsentOutput())) {
      std::this_thread::sleep_for(kFinalAnswerPoll);
    }
    LogCutRequests(cut, OpenExchanges());
  }

  /// @return what the daemon holds on the request thread.
  LogFields MemoryFields() const {
    LogFields fields = requests_->Usage();
    const CallerGatewayUsage callers = gateway_->Usage();
    fields.emplace_back("callers", std::to_string(callers.connections));
    fields.emplace_back("exchanges", std::to_string(callers.exchanges));
    fields.emplace_back("caller_output", std::to_string(callers.output_bytes));
    fields.emplace_back("caller_input", std::to_string(callers.unparsed_bytes));
    const RouteTablePtr table = routes_.Current();
    if (table == nullptr) return fields;
    fields.emplace_back("document", std::to_string(table->TextBytes()));
    fields.emplace_back("routes",
                        std::to_string(table->Document().routes.size()));
    return fields;
  }

  /// Starts a server unless its port is 0 or an earlier start failed.
  static std::unique_ptr<SimpleHttpServer> StartServer(
      const ListenerSettings& listener, SimpleHttpServer::Handler handler,
      HttpThreads threads, std::error_code& error) {
    if (error || listener.port == 0) return nullptr;
    return StartSimpleHttpServer(listener.address, listener.port,
                                 std::move(handler), threads, error);
  }

  RequestLoopConfig RequestSettings() {
    return {identity_,
            settings_.RequestAddress(),
            settings_.AdvertisedRequestAddress(),
            settings_.upstream_connections,
            RandomSeed(),
            settings_.link_mbps,
            external_.Upstreams(),
            settings_.failure_domains,
            &rollouts_,
            ChooserConfigFromEnv()};
  }

  /// Environment variables select another choice policy, or turn ejection or
  /// plans off, for measurements.
  static ChooserConfig ChooserConfigFromEnv() {
    ChooserConfig config;
    if (const char* name = std::getenv("HIBISCUSGLADE_CHOICE_POLICY")) {
      config.policy = ParseChoicePolicy(name).value_or(config.policy);
    }
    config.ejection_enabled =
        std::getenv("HIBISCUSGLADE_NO_EJECTION") == nullptr;
    config.plans_enabled = std::getenv("HIBISCUSGLADE_NO_PLANS") == nullptr;
    return config;
  }

  ControlConfig ControlSettings() {
    ControlConfig config;
    config.rollouts = &rollouts_;
    config.identity = identity_;
    config.region = settings_.region;
    config.listen_address = settings_.ControlAddress();
    config.control_address = settings_.AdvertisedControlAddress();
    config.request_address = settings_.AdvertisedRequestAddress();
    config.seeds = settings_.seeds;
    config.replicas = settings_.replicas;
    config.local_service = settings_.local_service;
    config.local_upstream = settings_.local_upstream;
    config.founds_mesh = settings_.founds_mesh;
    config.serves_claims = settings_.serves_claims;
    config.data_folder = settings_.data_folder;
    config.tolerated_losses = settings_.tolerated_losses;
    config.seed = RandomSeed();
    return config;
  }

  CallerGatewayConfig CallerSettings() const {
    const CallerGatewayConfig defaults;
    return {settings_.callers.address,        settings_.callers.port,
            settings_.max_caller_connections, defaults.idle_timeout_s,
            settings_.local_service,          external_.Callers()};
  }

  const DaemonSettings& settings_;
  const ExternalInterface& external_;
  SteadyClock clock_;
  std::unique_ptr<Metrics> metrics_;
  PeerIdentity identity_;
  RouteTableHolder routes_;
  RolloutTally rollouts_;
  std::unique_ptr<RequestLoop> requests_;
  std::unique_ptr<ControlLoop> control_;
  std::unique_ptr<ClaimStore> claims_;
  std::unique_ptr<CallerGateway> gateway_;
  MemoryReporter memory_;
  std::unique_ptr<SimpleHttpServer> operators_;
  std::unique_ptr<SimpleHttpServer> announcements_;
  std::unique_ptr<SimpleHttpServer> readiness_;
  std::unique_ptr<SimpleHttpServer> metrics_server_;
};

}  // namespace

int RunDaemon(const std::string& path, const DaemonSettings& settings,
              const ExternalInterface& external) {
  InitLogging(settings.log_level, settings.instance, settings.failure_domain);
  LogIgnoredEntries(settings);
  Daemon daemon(settings, external);
  if (std::error_code error = daemon.Start()) {
    Log(LogLevel::kError, "app",
        "The daemon can't start: " + error.message() + " (" +
            std::to_string(error.value()) + ").");
    return kExitStartFailed;
  }
  Log(LogLevel::kInfo, "app", "The daemon is running.",
      {{"link_mbps", std::to_string(settings.link_mbps)}});
  SettingsWatcher watcher(path, settings);
  while (WaitForSignal(kSettingsPollMs) != SignalRequest::kStop) {
    if (auto changed = watcher.ReloadIfChanged()) daemon.Reload(*changed);
  }
  Log(LogLevel::kInfo, "app", "The daemon is draining.");
  const bool clean = daemon.Stop(watcher.Latest());
  Log(LogLevel::kInfo, "app",
      clean ? "The daemon has stopped."
            : "The daemon has stopped with requests still open.");
  return clean ? kExitOk : kExitRequestsOpen;
}

}  // namespace hibiscusglade
