#ifndef HIBISCUSGLADE_CALLER_INTERNAL_CALLER_CONNECTION_H_
#define HIBISCUSGLADE_CALLER_INTERNAL_CALLER_CONNECTION_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "base/event_loop.h"
#include "caller/caller_gateway.h"
#include "caller/internal/exchange.h"
#include "caller/internal/request_parser.h"

namespace hibiscusglade {

/// Limits in force for callers' connections.
struct ConnectionLimits {
  RequestLimits request;
  Duration head_timeout{};  ///< From the first byte of a request to its end.
  Duration idle_timeout{};  ///< Between requests.

  friend bool operator==(const ConnectionLimits&,
                         const ConnectionLimits&) = default;
};

/// One connection of a caller. Requests are read one behind the other and,
/// where their method allows it, begun before earlier ones are answered; the
/// answers leave in the order of the requests.
class CallerConnection {
 public:
  struct Parts {
    EventLoop& loop;
    const Clock& clock;
    CallHandler& handler;
    const CallerDialect& dialect;
    const std::string& origin_service;
    std::function<ConnectionLimits()> limits;
    std::function<std::string()> next_id;  ///< For requests without an id.
    /// Called once the connection is over; it may be destroyed then.
    std::function<void(int descriptor)> over;
    std::function<void(const std::error_code&)> count_refusal;
  };

  /// @param caller address of the peer, for fairness between callers.
  CallerConnection(int descriptor, std::string caller, const Parts& parts);
  ~CallerConnection();
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  void Start();

  /// The answer to the next request that is read ends the connection; those
  /// that were read before it are answered first.
  void CloseAfterAnswer() { closing_ = true; }

  /// Ends the connection when its time is over.
  void CheckTime(const ConnectionLimits& limits, Instant now);

 private:
  void OnEvents(uint32_t events);
  void Read();
  void Parse(std::string_view bytes);
  void TakeRequest();
  void RefuseInput(CallerCode code);
  void BeginReady();
  void Begin(const std::shared_ptr<Exchange>& exchange);
  void WriteSoon();
  void Write();
  bool SendFront();
  void EndFront();
  void WatchFor(bool room);
  void Linger();
  void Abandon();
  void End();

  int descriptor_;
  std::string caller_;
  Parts parts_;
  RequestParser parser_;
  std::deque<std::shared_ptr<Exchange>> exchanges_;  ///< Oldest first.
  std::string unread_;  ///< Input behind more requests than are begun at once.
  Instant since_;       ///< Of the state that CheckTime() bounds.
  bool closing_ = false;
  bool input_ended_ = false;  ///< Nothing more is read as requests.
  bool lingering_ = false;    ///< Closed towards the caller; input is dropped.
  bool write_planned_ = false;
  bool over_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLER_INTERNAL_CALLER_CONNECTION_H_
