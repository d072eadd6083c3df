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
/// Requests of one connection that are held at once; further input waits in
/// the socket.
constexpr size_t kMaxExchanges = 32;
/// A refused caller may still be sending; closing at once would reset the
/// connection and take the answer from it.
constexpr Duration kLingerTime = std::chrono::seconds(1);
constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";

/// Requests of these methods may be begun before earlier ones are answered.
bool MayOvertake(const std::string& method) {
  return method == "GET" || method == "HEAD";
}

}  // namespace

CallerConnection::CallerConnection(int descriptor, std::string caller,
                                   const Parts& parts)
    : descriptor_(descriptor),
      caller_(std::move(caller)),
      parts_(parts),
      parser_(parts.dialect),
      since_(parts.clock.Now()) {}

CallerConnection::~CallerConnection() {
  *alive_ = false;
  for (const auto& exchange : exchanges_) exchange->changed = nullptr;
  parts_.loop.Forget(descriptor_);
  close(descriptor_);
}

void CallerConnection::Start() {
  parser_.SetLimits(parts_.limits().request);
  parts_.loop.Watch(descriptor_, EPOLLIN | EPOLLRDHUP,
                    [this](uint32_t events) { OnEvents(events); });
}

void CallerConnection::CheckTime(const ConnectionLimits& limits, Instant now) {
  if (lingering_) {
    if (now - since_ > kLingerTime) End();
    return;
  }
  if (!exchanges_.empty()) return;
  if (parser_.State() == ParseState::kInHead) {
    if (now - since_ > limits.head_timeout) {
      RefuseInput(CallerCode::kHeadTooSlow);
    }
  } else if (now - since_ > limits.idle_timeout) {
    End();
  }
}

void CallerConnection::OnEvents(uint32_t events) {
  if ((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
    // The caller has left: nobody waits for the answers.
    End();
    return;
  }
  if ((events & EPOLLOUT) != 0) Write();
  if (!over_ && (events & EPOLLIN) != 0) Read();
}

void CallerConnection::Read() {
  std::array<char, kReadBytes> buffer{};
  const ssize_t taken = recv(descriptor_, buffer.data(), buffer.size(), 0);
  if (taken < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
  if (taken <= 0) {
    End();
    return;
  }
  if (input_ended_) return;
  const std::string_view bytes(buffer.data(), static_cast<size_t>(taken));
  if (unread_.empty()) {
    Parse(bytes);
  } else {
    unread_.append(bytes);
  }
}

void CallerConnection::Parse(std::string_view bytes) {
  while (!bytes.empty() && !input_ended_ && !over_) {
    if (exchanges_.size() >= kMaxExchanges) {
      unread_.assign(bytes);
      WatchFor(false);
      return;
    }
    if (parser_.State() == ParseState::kBetween) since_ = parts_.clock.Now();
    const ParseState state = parser_.Read(bytes);
    if (parser_.TakeExpectsContinue() && state == ParseState::kInBody &&
        exchanges_.empty()) {
      send(descriptor_, kContinue, sizeof(kContinue) - 1, MSG_NOSIGNAL);
    }
    if (state == ParseState::kInBody) since_ = parts_.clock.Now();
    if (state == ParseState::kWhole) TakeRequest();
    if (state == ParseState::kFault) RefuseInput(parser_.Fault());
  }
}

void CallerConnection::TakeRequest() {
  ParsedRequest parsed = parser_.TakeRequest();
  parser_.SetLimits(parts_.limits().request);
  CallRequest& request = parsed.request;
  if (request.caller.empty()) request.caller = caller_;
  request.origin_service = parts_.origin_service;
  if (request.request_id.empty()) request.request_id = parts_.next_id();
  const bool keep_alive = parsed.keep_alive && !closing_;
  if (!keep_alive) input_ended_ = true;
  auto exchange = std::make_shared<Exchange>(std::move(request), parts_.dialect,
                                             keep_alive, parsed.chunks_known);
  exchange->changed = [this] { WriteSoon(); };
  exchanges_.push_back(std::move(exchange));
  BeginReady();
}

/// Answers input that is no request and reads no further.
void CallerConnection::RefuseInput(CallerCode code) {
  input_ended_ = true;
  const std::error_code error = code;
  parts_.count_refusal(error);
  auto exchange =
      std::make_shared<Exchange>(CallRequest{}, parts_.dialect, false, true);
  exchange->changed = [this] { WriteSoon(); };
  exchange->begun = true;
  exchanges_.push_back(exchange);
  exchange->PutRefusal({error, Certainty::kNotRun, error.message(), {}});
}

void CallerConnection::BeginReady() {
  bool all_may_overtake = true;
  for (size_t i = 0; i < exchanges_.size() && !over_; ++i) {
    const std::shared_ptr<Exchange> exchange = exchanges_[i];
    all_may_overtake = all_may_overtake && MayOvertake(exchange->Method());
    if (i > 0 && !all_may_overtake) return;
    if (!exchange->begun) Begin(exchange);
  }
}

void CallerConnection::Begin(const std::shared_ptr<Exchange>& exchange) {
  exchange->begun = true;
  exchange->call = parts_.handler.Begin(
      exchange->TakeRequest(),
      std::make_unique<ExchangeStream>(exchange, parts_.count_refusal));
}

void CallerConnection::WriteSoon() {
  if (write_planned_) return;
  write_planned_ = true;
  parts_.loop.Defer([this, alive = alive_] {
    if (*alive && !over_) Write();
  });
}

void CallerConnection::Write() {
  write_planned_ = false;
  while (!exchanges_.empty() && !over_) {
    if (!SendFront()) return;
    if (!exchanges_.front()->Done()) break;
    EndFront();
  }
  if (over_ || lingering_) return;
  WatchFor(false);
  if (!unread_.empty() && exchanges_.size() < kMaxExchanges) {
    const std::string bytes = std::exchange(unread_, {});
    Parse(bytes);
  }
}

/// @return false when the socket takes no more for now, or is over.
bool CallerConnection::SendFront() {
  Exchange& front = *exchanges_.front();
  while (!front.Ready().empty()) {
    const std::string_view bytes = front.Ready();
    const ssize_t sent =
        send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      WatchFor(true);
      return false;
    }
    if (sent <= 0) {
      End();
      return false;
    }
    front.Sent(static_cast<size_t>(sent));
  }
  const uint64_t consumed = front.TakeConsumed();
  if (consumed > 0 && !front.Done()) {
    parts_.handler.Consumed(front.call, consumed);
  }
  return true;
}

void CallerConnection::EndFront() {
  const std::shared_ptr<Exchange> front = std::move(exchanges_.front());
  exchanges_.pop_front();
  front->changed = nullptr;
  since_ = parts_.clock.Now();
  if (front->Broken()) {
    End();
  } else if (!front->KeepsAlive()) {
    Linger();
  } else {
    BeginReady();
  }
}

void CallerConnection::WatchFor(bool room) {
  uint32_t events = EPOLLRDHUP;
  if (unread_.empty()) events |= EPOLLIN;
  if (room) events |= EPOLLOUT;
  parts_.loop.Change(descriptor_, events);
}

/// Says that no more comes, and waits for the caller to close.
void CallerConnection::Linger() {
  shutdown(descriptor_, SHUT_WR);
  lingering_ = true;
  input_ended_ = true;
  since_ = parts_.clock.Now();
  Abandon();
}

/// Nobody waits any more for what is still to be answered.
void CallerConnection::Abandon() {
  for (const auto& exchange : exchanges_) {
    exchange->changed = nullptr;
    if (exchange->call != 0 && !exchange->Done()) {
      parts_.handler.Cancel(exchange->call);
    }
  }
  exchanges_.clear();
}

void CallerConnection::End() {
  if (over_) return;
  over_ = true;
  Abandon();
  parts_.loop.Forget(descriptor_);
  // The connection may be in the midst of a callback.
  parts_.loop.Defer(
      [over = parts_.over, descriptor = descriptor_] { over(descriptor); });
}

}  // namespace hibiscusglade
