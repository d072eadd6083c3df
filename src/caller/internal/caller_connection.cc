#include "caller/internal/caller_connection.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

#include "caller/caller_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr size_t kReadBytes = size_t{16} << 10U;
/// Maximum unanswered requests of a connection; beyond it the socket is not
/// read, so that further input stays in its buffer.
constexpr size_t kMaxExchanges = 32;
/// Bytes of an answer that are held back while requests behind it run. Beyond
/// it only those that fit the memory for held answers, up to the size below.
constexpr size_t kMaxHeldBytes = size_t{64} << 10U;
constexpr size_t kMaxHeldWhole = size_t{512} << 10U;
/// Longest wait for a caller to close after the last answer. Closing while a
/// refused caller is still sending would reset the connection, and the caller
/// could lose the answer.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
/// Long enough for some of the bodies that are held to be served.
constexpr Duration kBodyMemoryRetryAfter = std::chrono::milliseconds(500);
constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";

/// @return whether requests of a method may be begun before earlier ones are
/// answered.
bool MayRunInParallel(const std::string& method) {
  return method == "GET" || method == "HEAD";
}

}  // namespace

std::string_view ConnectionEndName(ConnectionEnd reason) {
  switch (reason) {
    case ConnectionEnd::kCallerClosed:
      return "caller_closed";
    case ConnectionEnd::kIdleTimeout:
      return "idle_timeout";
    case ConnectionEnd::kTransferFailed:
      return "transfer_failed";
    case ConnectionEnd::kAnswerBroken:
      return "answer_broken";
    case ConnectionEnd::kClosedAfterAnswer:
      return "closed_after_answer";
  }
  return "unknown";
}

CallerConnection::CallerConnection(int descriptor, std::string caller,
                                   const Parts& parts)
    : descriptor_(descriptor),
      caller_(std::move(caller)),
      parts_(parts),
      parser_(parts.dialect) {
  BeginWait();
}

CallerConnection::~CallerConnection() {
  *alive_ = false;
  parts_.body_memory.OnChange(body_bytes_, 0);
  parts_.held_answers.OnChange(held_bytes_, 0);
  for (const auto& exchange : exchanges_) exchange->on_output = nullptr;
  parts_.loop.Unwatch(descriptor_);
  close(descriptor_);
}

void CallerConnection::Start() {
  parts_.loop.Watch(descriptor_, EPOLLIN | EPOLLRDHUP,
                    [this](uint32_t events) { OnEvents(events); });
}

void CallerConnection::CheckTimeouts(const ConnectionLimits& limits,
                                     Instant now) {
  if (lingering_) {
    if (now - wait_start_ > kLingerTimeout) {
      End(ConnectionEnd::kClosedAfterAnswer);
    }
    return;
  }
  if (!exchanges_.empty()) return;
  const ConnectionLimits allowed = LooserOf(wait_limits_, limits);
  if (parser_.State() == ParseState::kInHead) {
    if (now - wait_start_ > allowed.head_timeout) {
      RefuseInput(CallerCode::kHeadTooSlow);
    }
  } else if (now - wait_start_ > allowed.idle_timeout) {
    End(ConnectionEnd::kIdleTimeout);
  }
}

void CallerConnection::BeginWait() {
  wait_start_ = parts_.clock.Now();
  wait_limits_ = parts_.limits();
}

void CallerConnection::AddUsage(CallerGatewayUsage& usage) const {
  ++usage.connections;
  usage.exchanges += exchanges_.size();
  usage.unparsed_bytes += unparsed_.capacity();
  for (const auto& exchange : exchanges_) {
    usage.output_bytes += exchange->OutputCapacity();
  }
}

void CallerConnection::OnEvents(uint32_t events) {
  if ((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
    // A caller that closes the connection, or its side of it, does not wait
    // for answers.
    End(ConnectionEnd::kCallerClosed);
    return;
  }
  if ((events & EPOLLOUT) != 0) Write();
  if (!ended_ && (events & EPOLLIN) != 0) Read();
}

void CallerConnection::Read() {
  std::array<char, kReadBytes> buffer{};
  const ssize_t received = recv(descriptor_, buffer.data(), buffer.size(), 0);
  if (received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
  if (received <= 0) {
    End(received == 0 ? ConnectionEnd::kCallerClosed
                      : ConnectionEnd::kTransferFailed);
    return;
  }
  if (input_ended_) return;
  const std::string_view bytes(buffer.data(), static_cast<size_t>(received));
  const RequestLimits limits = parts_.limits().request;
  if (unparsed_.empty()) {
    Parse(bytes, limits);
  } else {
    unparsed_.append(bytes);
    unparsed_limits_ = LooserOf(unparsed_limits_, limits);
  }
}

/// @param limits for these bytes.
void CallerConnection::Parse(std::string_view bytes,
                             const RequestLimits& limits) {
  while (!bytes.empty() && !input_ended_ && !ended_) {
    if (exchanges_.size() >= kMaxExchanges) {
      unparsed_.assign(bytes);
      unparsed_limits_ = limits;
      WatchSocket(false);
      return;
    }
    if (parser_.State() == ParseState::kIdle) BeginWait();
    parser_.SetLimits(limits);
    const ParseState state = parser_.Read(bytes);
    if (parser_.TakeExpectsContinue() && state == ParseState::kInBody &&
        exchanges_.empty()) {
      send(descriptor_, kContinue, sizeof(kContinue) - 1, MSG_NOSIGNAL);
    }
    if (state == ParseState::kInBody) BeginWait();
    if (state == ParseState::kComplete) EnqueueRequest();
    if (state == ParseState::kFailed) RefuseInput(parser_.Error());
    CountBodyBytes();
    if (parser_.State() == ParseState::kInBody &&
        parts_.body_memory.IsFullFor(body_bytes_)) {
      RefuseInput(CallerCode::kBodyMemoryFull, kBodyMemoryRetryAfter);
    }
  }
}

void CallerConnection::EnqueueRequest() {
  ParsedRequest parsed = parser_.TakeRequest();
  CallRequest& request = parsed.request;
  const size_t body_bytes = request.body.size();
  if (request.caller.empty()) request.caller = caller_;
  request.origin_service = parts_.origin_service;
  if (request.request_id.empty()) request.request_id = parts_.next_id();
  const bool keep_alive = parsed.keep_alive && !closing_;
  if (!keep_alive) input_ended_ = true;
  auto exchange = std::make_shared<Exchange>(
      std::move(request), parts_.dialect, keep_alive, parsed.accepts_chunked);
  exchange->on_output = [this] { ScheduleWrite(); };
  exchange->body_bytes = body_bytes;
  exchanges_.push_back(std::move(exchange));
  BeginEligible();
}

/// Answers an invalid or late request with an error and discards further input.
void CallerConnection::RefuseInput(CallerCode code, Duration retry_after) {
  input_ended_ = true;
  parser_.TakeRequest();  // Frees what was read of its body.
  CountBodyBytes();
  const std::error_code error = code;
  parts_.count_refusal(error);
  auto exchange =
      std::make_shared<Exchange>(CallRequest{}, parts_.dialect, false, true);
  exchange->on_output = [this] { ScheduleWrite(); };
  exchange->begun = true;
  exchanges_.push_back(exchange);
  exchange->PutRefusal(
      {error, Certainty::kNotRun, error.message(), retry_after});
}

/// Counts what the request that is read and those not answered hold.
void CallerConnection::CountBodyBytes() {
  size_t bytes = parser_.BodyBytes();
  for (const auto& exchange : exchanges_) bytes += exchange->body_bytes;
  parts_.body_memory.OnChange(std::exchange(body_bytes_, bytes), bytes);
}

/// Begins the oldest request, and those that follow it while all may run in
/// parallel. None is begun behind an answer that is partly sent: if that one
/// breaks off, the connection ends.
void CallerConnection::BeginEligible() {
  bool all_in_parallel =
      exchanges_.empty() || !exchanges_.front()->PartlySent();
  for (size_t i = 0; i < exchanges_.size() && !ended_; ++i) {
    const std::shared_ptr<Exchange> exchange = exchanges_[i];
    all_in_parallel = all_in_parallel && MayRunInParallel(exchange->Method());
    if (i > 0 && !all_in_parallel) return;
    if (!exchange->begun) Begin(exchange);
  }
}

void CallerConnection::Begin(const std::shared_ptr<Exchange>& exchange) {
  exchange->begun = true;
  exchange->call = parts_.handler.Begin(
      exchange->TakeRequest(),
      std::make_unique<ExchangeStream>(exchange, parts_.count_refusal));
}

void CallerConnection::ScheduleWrite() {
  if (write_scheduled_) return;
  write_scheduled_ = true;
  parts_.loop.Defer([this, alive = alive_] {
    if (*alive && !ended_) Write();
  });
}

void CallerConnection::Write() {
  write_scheduled_ = false;
  while (!exchanges_.empty() && !ended_) {
    const bool sent = SendFront();
    CountHeldBytes();
    if (!sent) return;
    if (!exchanges_.front()->Done()) break;
    FinishFront();
  }
  if (ended_ || lingering_) return;
  WatchSocket(false);
  if (!unparsed_.empty() && exchanges_.size() < kMaxExchanges) {
    const std::string bytes = std::exchange(unparsed_, {});
    Parse(bytes, LooserOf(unparsed_limits_, parts_.limits().request));
    if (!ended_ && unparsed_.empty()) WatchSocket(false);
  }
}

/// An incomplete answer with begun requests behind it is held back: if it
/// breaks off, it can be replaced by an error and they are still answered.
bool CallerConnection::HoldsFront() const {
  const Exchange& front = *exchanges_.front();
  if (front.Ended() || front.PartlySent() || exchanges_.size() < 2 ||
      !exchanges_[1]->begun) {
    return false;
  }
  const size_t held = front.Unsent().size();
  if (held < kMaxHeldBytes) return true;
  return held < kMaxHeldWhole && front.ExpectedBytes() < kMaxHeldWhole &&
         !parts_.held_answers.IsFullFor(held_bytes_);
}

/// Counts what the oldest answer holds beyond what each connection may hold.
void CallerConnection::CountHeldBytes() {
  const size_t unsent =
      exchanges_.empty() ? 0 : exchanges_.front()->Unsent().size();
  const size_t bytes = unsent > kMaxHeldBytes ? unsent : 0;
  parts_.held_answers.OnChange(std::exchange(held_bytes_, bytes), bytes);
}

/// Sends the output of the oldest exchange.
/// @return false when the socket's buffer is full, or the connection ended.
bool CallerConnection::SendFront() {
  Exchange& front = *exchanges_.front();
  if (HoldsFront()) {
    // The rest is asked for as if these bytes were sent.
    ReportConsumed(front, front.TakeHeld());
    return true;
  }
  while (!front.Unsent().empty()) {
    const std::string_view bytes = front.Unsent();
    const ssize_t sent =
        send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      WatchSocket(true);
      return false;
    }
    if (sent <= 0) {
      End(ConnectionEnd::kTransferFailed);
      return false;
    }
    front.MarkSent(static_cast<size_t>(sent));
  }
  ReportConsumed(front, front.TakeConsumed());
  return true;
}

void CallerConnection::ReportConsumed(const Exchange& front, uint64_t bytes) {
  if (bytes > 0 && !front.Done()) parts_.handler.Consumed(front.call, bytes);
}

void CallerConnection::FinishFront() {
  const std::shared_ptr<Exchange> front = exchanges_.front();
  if (front->Broken()) {
    End(ConnectionEnd::kAnswerBroken);
    return;
  }
  exchanges_.pop_front();
  if (front->body_bytes > 0) CountBodyBytes();
  front->on_output = nullptr;
  BeginWait();
  if (!front->KeepsAlive()) {
    Linger();
  } else {
    BeginEligible();
  }
}

void CallerConnection::WatchSocket(bool for_output) {
  uint32_t events = EPOLLRDHUP;
  if (unparsed_.empty()) events |= EPOLLIN;
  if (for_output) events |= EPOLLOUT;
  parts_.loop.ChangeEvents(descriptor_, events);
}

/// Shuts the connection down for sending and waits for the caller to close.
void CallerConnection::Linger() {
  shutdown(descriptor_, SHUT_WR);
  lingering_ = true;
  input_ended_ = true;
  BeginWait();
  CancelExchanges(ConnectionEnd::kClosedAfterAnswer);
}

void CallerConnection::ReportCut(ConnectionEnd reason) const {
  if (exchanges_.empty()) return;
  CutRequests cut{reason, exchanges_.front()->RequestId()};
  for (const auto& exchange : exchanges_) {
    if (exchange->PartlySent()) ++cut.partly_sent;
    if (!exchange->begun) {
      ++cut.not_begun;
    } else if (exchange->Complete()) {
      ++cut.complete;
    } else {
      ++cut.running;
    }
  }
  parts_.on_cut(cut);
}

/// Cancels all calls that are not answered.
void CallerConnection::CancelExchanges(ConnectionEnd reason) {
  ReportCut(reason);
  for (const auto& exchange : exchanges_) {
    exchange->on_output = nullptr;
    if (exchange->call != 0 && !exchange->Done()) {
      parts_.handler.Cancel(exchange->call);
    }
  }
  exchanges_.clear();
}

void CallerConnection::End(ConnectionEnd reason) {
  if (ended_) return;
  ended_ = true;
  CancelExchanges(reason);
  parts_.loop.Unwatch(descriptor_);
  // Deferred, as on_end may destroy the connection while one of its methods
  // runs.
  parts_.loop.Defer([on_end = parts_.on_end, descriptor = descriptor_] {
    on_end(descriptor);
  });
}

}  // namespace hibiscusglade
