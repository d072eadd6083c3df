#include "app/daemon.h"

#include <cstdlib>
#include <memory>
#include <random>
#include <thread>

#include "caller/caller_gateway.h"
#include "control/control_loop.h"
#include "http/simple_http_server.h"
#include "operator/operator_api.h"
#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/stop_signal.h"
#include "requests/request_loop.h"
#include "routing/route_table_holder.h"
#include "upstream/announcement_api.h"

namespace hibiscusglade {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitStart = 1;
constexpr int kExitCutOff = 3;
constexpr int kDrainPollMs = 50;
/// Lets peers learn that this daemon leaves before it refuses their work.
constexpr std::chrono::milliseconds kLeaveNotice{500};

uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32U) | device();
}

/// All parts of the daemon, in the order in which they depend on each other.
class Daemon {
 public:
  explicit Daemon(const DaemonSettings& settings)
      : settings_(settings),
        metrics_(MakeMetrics()),
        identity_{settings.mesh, settings.instance, settings.failure_domain,
                  static_cast<uint64_t>(clock_.UnixMicros()),
                  settings.peer_address},
        requests_(
            MakeRequestLoop(RequestSettings(), clock_, *metrics_, routes_)),
        control_(MakeControlLoop(ControlSettings(), clock_, *metrics_, routes_,
                                 *requests_)),
        claims_(control_->MakeClaimStore(requests_->Queue())),
        gateway_(MakeCallerGateway(CallerSettings(), *requests_, *metrics_)) {}

  std::error_code Start() {
    std::error_code error = requests_->Start(*claims_, *control_);
    if (!error) error = control_->Start();
    if (!error) error = gateway_->Start();
    if (error) return error;
    operators_ = StartSimpleHttpServer(
        settings_.operators.address, settings_.operators.port,
        [this](const HttpRequest& request) {
          return AnswerOperator(*control_, request);
        },
        error);
    if (error) return error;
    announcements_ = StartSimpleHttpServer(
        settings_.announcements.address, settings_.announcements.port,
        [this](const HttpRequest& request) {
          return AnswerAnnouncement(*control_, request);
        },
        error);
    return error;
  }

  /// Drains: peers learn first, then new work is refused, then what runs is
  /// finished.
  /// @return whether nothing was cut off.
  bool Stop() {
    control_->BeginStop();
    std::this_thread::sleep_for(kLeaveNotice);
    requests_->Drain();
    const Instant deadline =
        clock_.Now() + std::chrono::seconds(settings_.stop_timeout_s);
    bool idle = requests_->Idle();
    while (!idle && clock_.Now() < deadline) {
      if (WaitForStopSignal(kDrainPollMs)) break;
      idle = requests_->Idle();
    }
    gateway_->Quiesce();
    gateway_.reset();
    operators_.reset();
    announcements_.reset();
    requests_->Stop();
    control_->Stop();
    return idle;
  }

 private:
  RequestLoopConfig RequestSettings() const {
    return {identity_,
            settings_.RequestAddress(),
            settings_.AdvertisedRequestAddress(),
            settings_.upstream_connections,
            RandomSeed(),
            ChoiceFromEnv()};
  }

  /// The environment selects other ways to choose, for measurements.
  static ChooserConfig ChoiceFromEnv() {
    ChooserConfig choice;
    if (const char* name = std::getenv("HIBISCUSGLADE_CHOICE_POLICY")) {
      choice.policy = ChoicePolicyOf(name).value_or(choice.policy);
    }
    choice.ejects = std::getenv("HIBISCUSGLADE_NO_EJECTION") == nullptr;
    return choice;
  }

  ControlConfig ControlSettings() const {
    ControlConfig config;
    config.identity = identity_;
    config.region = settings_.region;
    config.listen_address = settings_.ControlAddress();
    config.control_address = settings_.AdvertisedControlAddress();
    config.request_address = settings_.AdvertisedRequestAddress();
    config.seeds = settings_.seeds;
    config.replicas = settings_.replicas;
    config.data_folder = settings_.data_folder;
    config.seed = RandomSeed();
    return config;
  }

  CallerGatewayConfig CallerSettings() const {
    CallerGatewayConfig config;
    config.address = settings_.callers.address;
    config.port = settings_.callers.port;
    config.threads = settings_.caller_threads;
    config.max_connections = settings_.max_caller_connections;
    return config;
  }

  const DaemonSettings& settings_;
  SteadyClock clock_;
  std::unique_ptr<Metrics> metrics_;
  PeerIdentity identity_;
  RouteTableHolder routes_;
  std::unique_ptr<RequestLoop> requests_;
  std::unique_ptr<ControlLoop> control_;
  std::unique_ptr<ClaimStore> claims_;
  std::unique_ptr<CallerGateway> gateway_;
  std::unique_ptr<SimpleHttpServer> operators_;
  std::unique_ptr<SimpleHttpServer> announcements_;
};

}  // namespace

int RunDaemon(const DaemonSettings& settings) {
  InitLogging(settings.log_level, settings.instance, settings.failure_domain);
  Daemon daemon(settings);
  if (std::error_code error = daemon.Start()) {
    Log(LogLevel::kError, "app",
        "The daemon can't start: " + error.message() + " (" +
            std::to_string(error.value()) + ").");
    return kExitStart;
  }
  Log(LogLevel::kInfo, "app", "The daemon runs.");
  WaitForStopSignal(-1);
  Log(LogLevel::kInfo, "app", "The daemon drains.");
  const bool clean = daemon.Stop();
  Log(LogLevel::kInfo, "app",
      clean ? "The daemon has stopped."
            : "The daemon has stopped with requests still open.");
  return clean ? kExitOk : kExitCutOff;
}

}  // namespace hibiscusglade
