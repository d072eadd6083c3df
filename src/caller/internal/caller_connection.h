#ifndef HIBISCUSGLADE_CALLER_INTERNAL_CALLER_CONNECTION_H_
#define HIBISCUSGLADE_CALLER_INTERNAL_CALLER_CONNECTION_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/event_loop.h"
#include "caller/caller_gateway.h"
#include "caller/internal/body_memory.h"
#include "caller/internal/exchange.h"
#include "caller/internal/request_parser.h"

namespace hibiscusglade {

/// Limits in force for callers' connections.
struct ConnectionLimits {
  RequestLimits request;
  Duration head_timeout{};  ///< From a request's first byte to its head's end.
  Duration idle_timeout{};  ///< Between requests, and between parts of a body.

  friend bool operator==(const ConnectionLimits&,
                         const ConnectionLimits&) = default;
};

/// @return limits that allow what either of them allows.
inline ConnectionLimits LooserOf(const ConnectionLimits& a,
                                 const ConnectionLimits& b) {
  return {LooserOf(a.request, b.request),
          std::max(a.head_timeout, b.head_timeout),
          std::max(a.idle_timeout, b.idle_timeout)};
}

/// Why a connection ended.
enum class ConnectionEnd {
  kCallerClosed,       ///< The caller closed it, or its side of it.
  kIdleTimeout,        ///< No request for longer than the idle timeout.
  kTransferFailed,     ///< Receiving or sending failed.
  kAnswerBroken,       ///< The rest of a partly sent answer was lost.
  kClosedAfterAnswer,  ///< The last answer said that it closes.
};

/// @return a name for logs and metrics, such as "answer_broken".
std::string_view ConnectionEndName(ConnectionEnd reason);

/// Requests that a connection left unanswered when it ended.
struct CutRequests {
  ConnectionEnd reason{};
  std::string first_request_id;
  size_t partly_sent = 0;  ///< At most one: the oldest.
  size_t complete = 0;     ///< Answers that were complete but not sent.
  size_t running = 0;      ///< Begun, and not completely answered.
  size_t not_begun = 0;

  friend bool operator==(const CutRequests&, const CutRequests&) = default;
};

/// One connection of a caller, with pipelining: requests whose methods allow it
/// are begun before earlier ones are answered. Answers are sent in the order of
/// the requests.
class CallerConnection {
 public:
  struct Parts {
    EventLoop& loop;
    const Clock& clock;
    CallHandler& handler;
    BodyMemory& body_memory;
    BodyMemory& held_answers;  ///< Of answers that are held back whole.
    const CallerDialect& dialect;
    const std::string& origin_service;
    std::function<ConnectionLimits()> limits;
    std::function<std::string()> next_id;  ///< For requests without an id.
    /// Called once the connection has ended; may destroy it.
    std::function<void(int descriptor)> on_end;
    std::function<void(const std::error_code&)> count_refusal;
    /// Called when the connection ends and leaves requests unanswered.
    std::function<void(const CutRequests&)> on_cut;
  };

  /// @param caller IP address of the peer, for fairness between callers; used
  /// for requests that don't name their caller.
  CallerConnection(int descriptor, std::string caller, const Parts& parts);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  void Start();

  /// Closes the connection after the answer to the next request that is read.
  /// Requests that were read before are still answered.
  void CloseAfterAnswer() { closing_ = true; }

  /// Ends the connection, or refuses an incomplete head, after a timeout. A
  /// timeout that was lowered meanwhile doesn't shorten a wait.
  /// @param limits in force.
  void CheckTimeouts(const ConnectionLimits& limits, Instant now);

  /// Adds what this connection holds.
  void AddUsage(CallerGatewayUsage& usage) const;

 private:
  void OnEvents(uint32_t events);
  void Read();
  void Parse(std::string_view bytes, const RequestLimits& limits);
  void BeginWait();
  void EnqueueRequest();
  void RefuseInput(CallerCode code, Duration retry_after = {});
  void CountBodyBytes();
  void BeginEligible();
  void Begin(const std::shared_ptr<Exchange>& exchange);
  void ScheduleWrite();
  void Write();
  bool HoldsFront() const;
  void CountHeldBytes();
  void ReportConsumed(const Exchange& front, uint64_t bytes);
  bool SendFront();
  void FinishFront();
  void WatchSocket(bool for_output);
  void Linger();
  void CancelExchanges(ConnectionEnd reason);
  void ReportCut(ConnectionEnd reason) const;
  void End(ConnectionEnd reason);

  int descriptor_;
  std::string caller_;
  Parts parts_;
  RequestParser parser_;
  std::deque<std::shared_ptr<Exchange>> exchanges_;  ///< Oldest first.
  std::string unparsed_;  ///< Input received beyond kMaxExchanges requests.
  RequestLimits unparsed_limits_;  ///< In force when that was received.
  Instant wait_start_;  ///< Start of the wait that CheckTimeouts() bounds.
  ConnectionLimits wait_limits_;  ///< In force then.
  size_t body_bytes_ = 0;         ///< Counted in the body memory.
  size_t held_bytes_ = 0;         ///< Counted in the memory of held answers.
  bool closing_ = false;
  bool input_ended_ = false;  ///< Further input is discarded.
  bool lingering_ = false;    ///< Shut down for sending; awaits the caller.
  bool write_scheduled_ = false;
  bool ended_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLER_INTERNAL_CALLER_CONNECTION_H_
