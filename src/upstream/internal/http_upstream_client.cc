#include "upstream/http_upstream_client.h"

#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "calls/answer_status.h"
#include "calls/field_values.h"
#include "upstream/internal/answer_head.h"
#include "upstream/internal/open_connections.h"
#include "upstream/internal/upstream_run.h"

namespace hibiscusglade {
namespace {

/// How long idle connections may be reused while the upstream has not sent a
/// keep-alive timeout.
constexpr long kDefaultKeepAliveSeconds = 4;
constexpr uint32_t kMaxKeepAliveSeconds = 118;  // libcurl's own limit.
/// Limits what an upstream can store in this machine's memory on a connection
/// that nobody reads.
constexpr int kReceiveBufferBytes = 256 << 10U;
/// From the decision to send a request until it is sent. Later, the upstream
/// may have reported that it leaves, and the time stated in the request is no
/// longer true.
constexpr Duration kMaxSendDelay = std::chrono::milliseconds(500);

/// A run or probe of a client.
struct Run : UpstreamRun {
  class Client* client = nullptr;
};

class Client : public UpstreamClient {
 public:
  Client(const UpstreamClientConfig& config, RunEvents& events, EventLoop& loop,
         const Clock& clock)
      : config_(config), events_(events), loop_(loop), clock_(clock) {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                      static_cast<long>(config_.max_connections));
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(config_.max_connections));
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &Client::OnSocket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &Client::OnTimer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
  }

  ~Client() override {
    for (auto& [id, run] : runs_) Release(*run);
    for (CURL* easy : idle_handles_) curl_easy_cleanup(easy);
    curl_multi_cleanup(multi_);
    if (timer_ != 0) loop_.ClearTimer(timer_);
  }

  void Start(RunId id, const std::string& address,
             CallAttempt attempt) override {
    auto run = std::make_unique<Run>();
    run->id = id;
    run->client = this;
    run->started = clock_.Now();
    run->deadline = run->started + attempt.remaining;
    run->remaining_credit = static_cast<int64_t>(attempt.credit_bytes);
    run->attempt = std::move(attempt);
    run->easy = TakeHandle();
    SetOptions(*run, address);
    curl_multi_add_handle(multi_, run->easy);
    runs_[id] = std::move(run);
  }

  void AddCredit(RunId run, uint64_t bytes) override {
    auto found = runs_.find(run);
    if (found == runs_.end()) return;
    found->second->remaining_credit += static_cast<int64_t>(bytes);
    if (!found->second->paused || found->second->remaining_credit <= 0) return;
    found->second->paused = false;
    curl_easy_pause(found->second->easy, CURLPAUSE_CONT);
  }

  void Probe(const std::string& address) override {
    auto run = std::make_unique<Run>();
    run->id = --last_probe_;
    run->client = this;
    run->is_probe = true;
    run->easy = TakeHandle();
    const std::string url = "http://" + address + "/";
    curl_easy_setopt(run->easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(run->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(run->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(run->easy, CURLOPT_CONNECT_ONLY, 1L);
    curl_easy_setopt(run->easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(run->easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(config_.connect_timeout.count() / 1000));
    curl_easy_setopt(run->easy, CURLOPT_PRIVATE, run.get());
    curl_multi_add_handle(multi_, run->easy);
    runs_[run->id] = std::move(run);
  }

  bool IsConnected(const std::string& address) const override {
    return connections_.AnyIsClean(address);
  }

  UpstreamClientUsage Usage() const override {
    return {runs_.size(), idle_handles_.size()};
  }

  void Cancel(RunId run) override {
    auto found = runs_.find(run);
    if (found == runs_.end()) return;
    Release(*found->second);
    runs_.erase(found);
  }

 private:
  /// Callback of libcurl: changes the events that a socket is watched for.
  static int OnSocket(CURL* easy, curl_socket_t socket, int what, void* cls,
                      void*) {
    auto* self = static_cast<Client*>(cls);
    if (what == CURL_POLL_REMOVE) {
      self->loop_.Unwatch(socket);
      self->run_of_socket_.erase(socket);
      return 0;
    }
    Run* run = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &run);
    if (run != nullptr) self->run_of_socket_[socket] = run->id;
    const bool in = what == CURL_POLL_IN || what == CURL_POLL_INOUT;
    const bool out = what == CURL_POLL_OUT || what == CURL_POLL_INOUT;
    self->loop_.Watch(socket, (in ? EPOLLIN : 0U) | (out ? EPOLLOUT : 0U),
                      [self, socket](uint32_t events) {
                        int mask = 0;
                        if ((events & EPOLLIN) != 0) mask |= CURL_CSELECT_IN;
                        if ((events & EPOLLOUT) != 0) mask |= CURL_CSELECT_OUT;
                        if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
                          mask |= CURL_CSELECT_ERR | CURL_CSELECT_IN;
                        }
                        self->HandleSocket(socket, mask);
                      });
    return 0;
  }

  /// Callback of libcurl: sets the time at which it is called next.
  static int OnTimer(CURLM*, long timeout_ms, void* cls) {
    auto* self = static_cast<Client*>(cls);
    if (self->timer_ != 0) self->loop_.ClearTimer(self->timer_);
    self->timer_ = 0;
    if (timeout_ms < 0) return 0;
    self->timer_ = self->loop_.SetTimer(
        self->clock_.Now() + std::chrono::milliseconds(timeout_ms), [self] {
          self->timer_ = 0;
          self->RunSocketAction(CURL_SOCKET_TIMEOUT, 0);
        });
    return 0;
  }

  void HandleSocket(curl_socket_t socket, int mask) {
    Run* run = (mask & CURL_CSELECT_IN) != 0 ? FindRunOf(socket) : nullptr;
    if (run == nullptr || run->framing.OnRead(socket)) {
      RunSocketAction(socket, mask);
    } else {
      run->fault = "its framing has no end";
      Finish(*run, CURLE_WRITE_ERROR);
    }
  }

  /// @return the run that a socket is watched for; nullptr when there is none.
  Run* FindRunOf(curl_socket_t socket) {
    const auto found = run_of_socket_.find(socket);
    if (found == run_of_socket_.end()) return nullptr;
    const auto run = runs_.find(found->second);
    return run == runs_.end() ? nullptr : run->second.get();
  }

  void RunSocketAction(curl_socket_t socket, int mask) {
    int running = 0;
    curl_multi_socket_action(multi_, socket, mask, &running);
    ReadFinished();
  }

  /// Notifies RunEvents once libcurl has returned, as its methods may call
  /// libcurl again, which is not allowed in a callback of libcurl.
  void DeferEvent(std::function<void()> event) {
    loop_.Defer(std::move(event));
  }

  CURL* TakeHandle() {
    if (idle_handles_.empty()) return curl_easy_init();
    CURL* easy = idle_handles_.back();
    idle_handles_.pop_back();
    return easy;
  }

  void SetOptions(Run& run, const std::string& address) {
    const CallAttempt& attempt = run.attempt;
    const CallRequest& request = attempt.request;
    CURL* easy = run.easy;
    const std::string url = "http://" + address + request.target;
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
                     static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(config_.connect_timeout.count() / 1000));
    const auto remaining_ms = std::max<int64_t>(
        1, std::chrono::ceil<std::chrono::milliseconds>(attempt.remaining)
               .count());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(remaining_ms));
    if (request.method == "HEAD") {
      curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    } else {
      curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    }
    if (!request.body.empty() || request.method == "POST" ||
        request.method == "PUT" || request.method == "PATCH") {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(request.body.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    }
    for (const HeaderField& field : request.headers) {
      AddField(run, field.name, field.value);
    }
    for (const HeaderField& field : config_.dialect.RequestFields(
             attempt, std::chrono::milliseconds(remaining_ms))) {
      AddField(run, field.name, field.value);
    }
    if (!request.host.empty()) AddField(run, "Host", request.host);
    // A name without a value removes a field that libcurl adds by itself.
    run.fields = curl_slist_append(run.fields, "Expect:");
    if (FindField(request.headers, "Accept") == nullptr) {
      run.fields = curl_slist_append(run.fields, "Accept:");
    }
    if (FindField(request.headers, "Content-Type") == nullptr) {
      run.fields = curl_slist_append(run.fields, "Content-Type:");
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, run.fields);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Client::OnHeaderLine);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &run);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Client::OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &run);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Client::OnBeforeSend);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &run);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Client::OnOpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, &run);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Client::OnCloseSocket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
    // When a reused connection turns out to be closed by the upstream, the
    // outcome of the request is unknown. libcurl checks whether it is closed
    // before it reuses it, but the upstream may close it right after that. Only
    // connections that were idle for less than the upstream's keep-alive
    // timeout are safe from this.
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, keep_alive_s_);
    if (attempt.NeedsClaim()) curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &run);
  }

  static curl_socket_t OnOpenSocket(void* cls, curlsocktype,
                                    curl_sockaddr* address) {
    auto* run = static_cast<Run*>(cls);
    if (run->sent) return CURL_SOCKET_BAD;  // See OnBeforeSend().
    run->opened_socket = socket(
        address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    setsockopt(run->opened_socket, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
               sizeof(kReceiveBufferBytes));
    return run->opened_socket;
  }

  static int OnCloseSocket(void* cls, curl_socket_t socket) {
    auto* self = static_cast<Client*>(cls);
    self->connections_.Remove(socket);
    return close(socket);
  }

  /// Callback of libcurl before it sends a request. libcurl sends any request
  /// again by itself when a reused connection is lost before a byte of the
  /// answer. Whether one is sent again is not its decision.
  static int OnBeforeSend(void* cls, char* remote_address, char* local_address,
                          int remote_port, int local_port) {
    auto* run = static_cast<Run*>(cls);
    if (run->sent) return CURL_PREREQFUNC_ABORT;
    if (run->client->clock_.Now() - run->started > kMaxSendDelay) {
      run->fault = "it could not be sent in time";
      return CURL_PREREQFUNC_ABORT;
    }
    const ConnectionEnds ends{local_address, local_port, remote_address,
                              remote_port};
    if (!run->client->IsClean(*run, ends)) {
      run->found_bytes = true;
      return CURL_PREREQFUNC_ABORT;
    }
    run->sent = true;
    run->in_head = false;
    // If the connection is lost, libcurl closes no other one for the repetition
    // that it then attempts.
    curl_easy_setopt(run->easy, CURLOPT_FRESH_CONNECT, 1L);
    return CURL_PREREQFUNC_OK;
  }

  /// @return whether the next bytes on a run's connection can be its answer.
  /// libcurl reuses connections on which bytes of nobody wait.
  bool IsClean(const Run& run, const ConnectionEnds& ends) {
    if (IsReused(run)) return connections_.IsClean(ends);
    connections_.Add(ends, run.opened_socket);
    return true;
  }

  /// Starts a run again, on a new connection, of which nothing was sent.
  void Restart(Run& run) {
    run.found_bytes = false;
    curl_multi_remove_handle(multi_, run.easy);
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
        run.deadline - clock_.Now());
    curl_easy_setopt(
        run.easy, CURLOPT_TIMEOUT_MS,
        static_cast<long>(std::max<int64_t>(1, remaining.count())));
    curl_easy_setopt(run.easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_multi_add_handle(multi_, run.easy);
  }

  static void AddField(Run& run, const std::string& name,
                       const std::string& value) {
    const std::string line = value.empty() ? name + ";" : name + ": " + value;
    run.fields = curl_slist_append(run.fields, line.c_str());
  }

  static size_t OnHeaderLine(char* data, size_t size, size_t count, void* cls) {
    auto* run = static_cast<Run*>(cls);
    run->framing.OnProgress();
    if (run->head_received) {
      if (run->framing.AddTrailer(size * count)) return size * count;
      run->fault = "its trailer has no end";
      return 0;
    }
    std::string_view line(data, size * count);
    if (line.ends_with('\n')) line.remove_suffix(1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (!run->in_head) {
      if (!run->BeginHead(line)) return 0;
    } else if (line.empty()) {
      run->in_head = false;
      run->client->FinishHead(*run);
      // What else arrives on the connection could be taken for the answer to a
      // later request: 0 aborts the transfer, which closes the connection.
      if (run->head_kind != AnswerHeadKind::kAnswer) return 0;
    } else if (auto field = ParseAnswerField(line)) {
      run->head.headers.push_back(std::move(*field));
    } else {
      // libcurl may have read the rest of the head in another way.
      run->head_kind = AnswerHeadKind::kMismatched;
      return 0;
    }
    return size * count;
  }

  /// @return whether the connection of a run has carried requests before.
  static bool IsReused(const Run& run) {
    long new_connections = 0;
    curl_easy_getinfo(run.easy, CURLINFO_NUM_CONNECTS, &new_connections);
    return new_connections == 0;
  }

  void FinishHead(Run& run) {
    if (!IsAnswerStatus(run.head.status)) return;
    run.head_received = true;
    for (const HeaderField& field : run.head.headers) {
      if (EqualFieldNames(field.name, "Keep-Alive"))
        UpdateKeepAlive(field.value);
    }
    if (!ReadAnswerLength(run.head)) {
      run.head_kind = AnswerHeadKind::kMismatched;
      return;
    }
    run.head_kind = config_.dialect.ClassifyHead(run.attempt, run.head);
    // On a reused connection, a rejection without the request's id may be that
    // of an earlier request.
    if (IsReused(run) && !config_.dialect.NamesRequest(run.attempt, run.head) &&
        run.head_kind != AnswerHeadKind::kAnswer) {
      run.head_kind = AnswerHeadKind::kMismatched;
    }
    if (run.head_kind != AnswerHeadKind::kAnswer) return;
    DeferEvent([this, id = run.id, head = run.head] {
      events_.OnRunHead(id, head, clock_.Now());
    });
  }

  /// @param value such as "timeout=5, max=100".
  void UpdateKeepAlive(const std::string& value) {
    constexpr std::string_view kTimeout = "timeout=";
    const size_t at = value.find(kTimeout);
    if (at == std::string::npos) return;
    const size_t begin = at + kTimeout.size();
    const size_t end = value.find_first_not_of("0123456789", begin);
    const auto seconds =
        ParseFieldNumber(std::string_view(value).substr(begin, end - begin),
                         kMaxKeepAliveSeconds);
    // A second less, since the upstream's timeout starts when it sends its last
    // byte, before that is received here.
    if (seconds.has_value()) keep_alive_s_ = std::max(1L, seconds.value() - 1L);
  }

  static size_t OnBody(char* data, size_t size, size_t count, void* cls) {
    auto* run = static_cast<Run*>(cls);
    run->framing.OnProgress();
    if (run->remaining_credit <= 0) {
      run->paused = true;
      return CURL_WRITEFUNC_PAUSE;
    }
    run->remaining_credit -= static_cast<int64_t>(size * count);
    std::string bytes(data, size * count);
    Client* self = run->client;
    self->DeferEvent([self, id = run->id, bytes = std::move(bytes)] {
      self->events_.OnRunData(id, bytes, self->clock_.Now());
    });
    return size * count;
  }

  void ReadFinished() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) continue;
      const CURLcode result = message->data.result;
      Run* run = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &run);
      Finish(*run, result);
    }
  }

  void Finish(Run& run, CURLcode result) {
    if (run.found_bytes) {
      Restart(run);
      return;
    }
    const RunId id = run.id;
    if (run.is_probe) {
      DeferEvent([this, reachable = result == CURLE_OK] {
        events_.OnProbed(reachable, clock_.Now());
      });
    } else if (result == CURLE_OK && run.head_received &&
               run.head_kind == AnswerHeadKind::kAnswer) {
      DeferEvent([this, id] { events_.OnRunEnd(id, clock_.Now()); });
    } else {
      DeferEvent([this, id, failure = FailureOf(run, result)] {
        events_.OnRunFailed(id, failure, clock_.Now());
      });
    }
    Release(run);
    runs_.erase(id);
  }

  void Release(Run& run) {
    curl_multi_remove_handle(multi_, run.easy);
    if (run.is_probe) {
      // The connection of a probe can't send requests; this closes it, too.
      curl_easy_cleanup(run.easy);
    } else {
      curl_easy_reset(run.easy);
      idle_handles_.push_back(run.easy);
    }
    curl_slist_free_all(run.fields);
    run.easy = nullptr;
    run.fields = nullptr;
  }

  UpstreamClientConfig config_;
  RunEvents& events_;
  EventLoop& loop_;
  const Clock& clock_;
  CURLM* multi_ = nullptr;
  EventLoop::TimerId timer_ = 0;
  std::vector<CURL*> idle_handles_;  ///< To be reused.
  std::map<RunId, std::unique_ptr<Run>> runs_;
  std::map<curl_socket_t, RunId> run_of_socket_;  ///< Of watched sockets.
  OpenConnections connections_;
  long keep_alive_s_ = kDefaultKeepAliveSeconds;
  RunId last_probe_ = 0;  ///< Probes' ids count down from the largest RunId.
};

}  // namespace

std::unique_ptr<UpstreamClient> MakeHttpUpstreamClient(
    const UpstreamClientConfig& config, RunEvents& events, EventLoop& loop,
    const Clock& clock) {
  return std::make_unique<Client>(config, events, loop, clock);
}

}  // namespace hibiscusglade
