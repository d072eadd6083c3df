#include "caller/caller_gateway.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <map>
#include <memory>
#include <utility>

#include "base/log.h"
#include "base/socket_address.h"
#include "caller/caller_result_codes.h"
#include "caller/internal/caller_connection.h"

namespace hibiscusglade {
namespace {

constexpr int kListenBacklog = 1024;
constexpr uint32_t kLogLinesPerSecond = 10;
constexpr size_t kMaxBodyBytes = size_t{16} << 20U;
/// Of answers that are held back whole, for all connections.
constexpr size_t kMaxHeldAnswerBytes = size_t{4} << 20U;
constexpr Duration kTimeoutCheckInterval = std::chrono::milliseconds(250);

class Gateway : public CallerGateway {
 public:
  Gateway(const CallerGatewayConfig& config, EventLoop& loop,
          const Clock& clock, CallHandler& handler,
          const RouteTableHolder& routes, Metrics& metrics)
      : config_(config),
        loop_(loop),
        clock_(clock),
        handler_(handler),
        routes_(routes),
        metrics_(metrics) {}

  ~Gateway() override {
    if (listener_ >= 0) {
      loop_.Unwatch(listener_);
      close(listener_);
    }
    if (check_timer_ != 0) loop_.ClearTimer(check_timer_);
  }

  std::error_code Start() override {
    const auto address = SocketAddressOf(config_.address, config_.port);
    if (address.has_value()) listener_ = ListenAt(*address, kListenBacklog);
    if (listener_ < 0) return CallerCode::kListenFailed;
    loop_.Watch(listener_, EPOLLIN, [this](uint32_t) { Accept(); });
    ScheduleTimeoutCheck();
    return {};
  }

  void CloseAfterAnswers() override {
    closing_ = true;
    for (auto& [descriptor, connection] : connections_) {
      connection->CloseAfterAnswer();
    }
  }

  CallerGatewayUsage Usage() const override {
    CallerGatewayUsage usage;
    for (const auto& [descriptor, connection] : connections_) {
      connection->AddUsage(usage);
    }
    return usage;
  }

 private:
  void Accept() {
    while (connections_.size() < config_.max_connections) {
      sockaddr_in peer{};
      socklen_t length = sizeof(peer);
      const int descriptor =
          accept4(listener_, reinterpret_cast<sockaddr*>(&peer), &length,
                  SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (descriptor < 0) return;
      const int yes = 1;
      setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
      char text[INET_ADDRSTRLEN] = "";
      inet_ntop(AF_INET, &peer.sin_addr, text, sizeof(text));
      auto connection =
          std::make_unique<CallerConnection>(descriptor, text, Parts());
      CallerConnection& added = *connection;
      connections_[descriptor] = std::move(connection);
      if (closing_) added.CloseAfterAnswer();
      added.Start();
    }
    // Further connections wait in the listen backlog until one ends.
    loop_.ChangeEvents(listener_, 0);
  }

  CallerConnection::Parts Parts() {
    return {loop_,
            clock_,
            handler_,
            body_memory_,
            held_answers_,
            config_.dialect,
            config_.origin_service,
            [this] { return Limits(); },
            [this] { return "r" + std::to_string(++last_request_number_); },
            [this](int descriptor) { Remove(descriptor); },
            [this](const std::error_code& code) { CountRefusal(code); },
            [this](const CutRequests& cut) { RecordCut(cut); }};
  }

  void Remove(int descriptor) {
    connections_.erase(descriptor);
    loop_.ChangeEvents(listener_, EPOLLIN);
  }

  /// @return the limits of the version in use.
  ConnectionLimits Limits() const {
    ConnectionLimits limits;
    limits.idle_timeout = std::chrono::seconds(config_.idle_timeout_s);
    limits.head_timeout = limits.idle_timeout;
    const RouteTablePtr table = routes_.Current();
    if (table == nullptr) return limits;
    const LimitsConfig& in_use = table->Document().limits;
    limits.request = {in_use.max_request_header_bytes,
                      in_use.max_request_body_bytes};
    limits.head_timeout = in_use.header_timeout;
    limits.idle_timeout = in_use.idle_timeout;
    return limits;
  }

  void ScheduleTimeoutCheck() {
    check_timer_ = loop_.SetTimer(clock_.Now() + kTimeoutCheckInterval, [this] {
      const Instant now = clock_.Now();
      const ConnectionLimits limits = Limits();
      for (auto& [descriptor, connection] : connections_) {
        connection->CheckTimeouts(limits, now);
      }
      ScheduleTimeoutCheck();
    });
  }

  void CountRefusal(const std::error_code& code) {
    metrics_
        .CounterOf("caller_refusals_total",
                   "code=\"" + std::to_string(code.value()) + "\"")
        .Add();
  }

  void RecordCut(const CutRequests& cut) {
    const std::string reason(ConnectionEndName(cut.reason));
    metrics_.CounterOf("caller_requests_cut_total", "reason=\"" + reason + "\"")
        .Add(cut.running + cut.complete);
    // Callers that leave are counted only: at peak load there are many.
    if (cut.reason == ConnectionEnd::kCallerClosed) return;
    if (!log_rate_limiter_.AllowLine(clock_.Now())) return;
    Log(LogLevel::kInfo, "caller",
        "A connection ended with requests unanswered.",
        {{"reason", reason},
         {"first_request", cut.first_request_id},
         {"partly_sent", std::to_string(cut.partly_sent)},
         {"complete", std::to_string(cut.complete)},
         {"running", std::to_string(cut.running)},
         {"not_begun", std::to_string(cut.not_begun)},
         {"lines_left_out",
          std::to_string(log_rate_limiter_.TakeSuppressedCount())}});
  }

  CallerGatewayConfig config_;
  EventLoop& loop_;
  const Clock& clock_;
  CallHandler& handler_;
  const RouteTableHolder& routes_;
  Metrics& metrics_;
  BodyMemory body_memory_{kMaxBodyBytes};
  BodyMemory held_answers_{kMaxHeldAnswerBytes};
  int listener_ = -1;
  EventLoop::TimerId check_timer_ = 0;
  std::map<int, std::unique_ptr<CallerConnection>> connections_;
  uint64_t last_request_number_ = 0;
  LogRateLimiter log_rate_limiter_{kLogLinesPerSecond};
  bool closing_ = false;
};

}  // namespace

std::unique_ptr<CallerGateway> MakeCallerGateway(
    const CallerGatewayConfig& config, EventLoop& loop, const Clock& clock,
    CallHandler& handler, const RouteTableHolder& routes, Metrics& metrics) {
  return std::make_unique<Gateway>(config, loop, clock, handler, routes,
                                   metrics);
}

}  // namespace hibiscusglade
