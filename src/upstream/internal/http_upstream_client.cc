#include "upstream/http_upstream_client.h"

#include <curl/curl.h>
#include <sys/epoll.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "calls/field_values.h"

namespace hibiscusglade {
namespace {

/// Idle connections are used again up to this age while the upstream has not
/// told how long it keeps them.
constexpr long kKeepAliveSeconds = 4;
constexpr uint32_t kMaxKeepAliveSeconds = 118;  // The library's own limit.

/// One run on the client's thread.
struct Run {
  RunId id = 0;
  CURL* easy = nullptr;
  curl_slist* fields = nullptr;
  CallAttempt attempt;
  AnswerHead head;
  HeadMeaning meaning = HeadMeaning::kAnswer;
  bool head_told = false;
  bool sent = false;      ///< Began to be sent over some connection.
  int64_t allowance = 0;  ///< Answer bytes that may still be read.
  bool paused = false;    ///< The library waits for the allowance.
  bool is_probe = false;
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
    for (CURL* easy : spare_) curl_easy_cleanup(easy);
    curl_multi_cleanup(multi_);
    if (timer_ != 0) loop_.ClearTimer(timer_);
  }

  void Start(RunId id, const std::string& address,
             const CallAttempt& attempt) override {
    auto run = std::make_unique<Run>();
    run->id = id;
    run->client = this;
    run->attempt = attempt;
    run->allowance = static_cast<int64_t>(attempt.credit_bytes);
    run->easy = TakeHandle();
    SetOptions(*run, address);
    curl_multi_add_handle(multi_, run->easy);
    runs_[id] = std::move(run);
  }

  void Allow(RunId run, uint64_t bytes) override {
    auto found = runs_.find(run);
    if (found == runs_.end()) return;
    found->second->allowance += static_cast<int64_t>(bytes);
    if (!found->second->paused || found->second->allowance <= 0) return;
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

  void Cancel(RunId run) override {
    auto found = runs_.find(run);
    if (found == runs_.end()) return;
    Release(*found->second);
    runs_.erase(found);
  }

 private:
  /// The library wants a socket watched.
  static int OnSocket(CURL*, curl_socket_t socket, int what, void* cls, void*) {
    auto* self = static_cast<Client*>(cls);
    if (what == CURL_POLL_REMOVE) {
      self->loop_.Forget(socket);
      return 0;
    }
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
                        self->Act(socket, mask);
                      });
    return 0;
  }

  /// The library wants to be called after a time.
  static int OnTimer(CURLM*, long timeout_ms, void* cls) {
    auto* self = static_cast<Client*>(cls);
    if (self->timer_ != 0) self->loop_.ClearTimer(self->timer_);
    self->timer_ = 0;
    if (timeout_ms < 0) return 0;
    self->timer_ = self->loop_.SetTimer(
        self->clock_.Now() + std::chrono::milliseconds(timeout_ms), [self] {
          self->timer_ = 0;
          self->Act(CURL_SOCKET_TIMEOUT, 0);
        });
    return 0;
  }

  void Act(curl_socket_t socket, int mask) {
    int running = 0;
    curl_multi_socket_action(multi_, socket, mask, &running);
    ReadFinished();
  }

  /// Events are told after the library has returned: what they lead to may
  /// call it again.
  void Tell(std::function<void()> event) { loop_.Defer(std::move(event)); }

  CURL* TakeHandle() {
    if (spare_.empty()) return curl_easy_init();
    CURL* easy = spare_.back();
    spare_.pop_back();
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
    // Fields that the library would add by itself.
    run.fields = curl_slist_append(run.fields, "Expect:");
    if (FindField(request.headers, "Accept") == nullptr) {
      run.fields = curl_slist_append(run.fields, "Accept:");
    }
    if (FindField(request.headers, "Content-Type") == nullptr) {
      run.fields = curl_slist_append(run.fields, "Content-Type:");
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, run.fields);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Client::OnField);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &run);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Client::OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &run);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Client::OnSending);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, &run);
    // A connection that the upstream has just closed would leave the outcome
    // of a request that may not be repeated unknown. The library looks whether
    // it is closed before it uses it again, so that only young ones are safe.
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, keep_alive_s_);
    if (attempt.NeedsClaim()) curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &run);
  }

  /// Called before each sending. The library sends a request again by itself
  /// when a connection that it used before is lost.
  static int OnSending(void* cls, char*, char*, int, int) {
    auto* run = static_cast<Run*>(cls);
    if (run->sent && !run->attempt.repeatable) return CURL_PREREQFUNC_ABORT;
    run->sent = true;
    return CURL_PREREQFUNC_OK;
  }

  static void AddField(Run& run, const std::string& name,
                       const std::string& value) {
    const std::string line = value.empty() ? name + ";" : name + ": " + value;
    run.fields = curl_slist_append(run.fields, line.c_str());
  }

  static size_t OnField(char* data, size_t size, size_t count, void* cls) {
    auto* run = static_cast<Run*>(cls);
    const std::string line(data, size * count);
    if (line.starts_with("HTTP/")) {
      run->head = {};
    } else if (const size_t colon = line.find(':');
               colon != std::string::npos) {
      const size_t first = line.find_first_not_of(" \t", colon + 1);
      const size_t last = line.find_last_not_of(" \t\r\n");
      std::string value = first == std::string::npos || last < first
                              ? ""
                              : line.substr(first, last - first + 1);
      run->head.headers.push_back({line.substr(0, colon), std::move(value)});
    } else {
      run->client->TellHead(*run);
    }
    return size * count;
  }

  void TellHead(Run& run) {
    long status = 0;
    curl_easy_getinfo(run.easy, CURLINFO_RESPONSE_CODE, &status);
    if (status < 200 || run.head_told) return;
    run.head_told = true;
    run.head.status = static_cast<int>(status);
    for (const HeaderField& field : run.head.headers) {
      if (SameField(field.name, "Content-Length")) {
        run.head.content_length =
            std::strtoll(field.value.c_str(), nullptr, 10);
      }
      if (SameField(field.name, "Keep-Alive")) LearnKeepAlive(field.value);
    }
    run.meaning = config_.dialect.MeaningOf(run.attempt, run.head);
    if (run.meaning != HeadMeaning::kAnswer) return;
    Tell([this, id = run.id, head = run.head] {
      events_.OnRunHead(id, head, clock_.Now());
    });
  }

  /// @param value such as "timeout=5, max=100".
  void LearnKeepAlive(const std::string& value) {
    constexpr std::string_view kTimeout = "timeout=";
    const size_t at = value.find(kTimeout);
    if (at == std::string::npos) return;
    const size_t begin = at + kTimeout.size();
    const size_t end = value.find_first_not_of("0123456789", begin);
    const auto seconds =
        ParseFieldNumber(std::string_view(value).substr(begin, end - begin),
                         kMaxKeepAliveSeconds);
    // A second less, since the upstream counts from its last byte.
    if (seconds.has_value()) keep_alive_s_ = std::max(1L, seconds.value() - 1L);
  }

  static size_t OnBody(char* data, size_t size, size_t count, void* cls) {
    auto* run = static_cast<Run*>(cls);
    // The body of something else ends the run: nobody waits for it.
    if (run->meaning == HeadMeaning::kForeign) return 0;
    if (run->meaning != HeadMeaning::kAnswer) return size * count;
    if (run->allowance <= 0) {
      run->paused = true;
      return CURL_WRITEFUNC_PAUSE;
    }
    run->allowance -= static_cast<int64_t>(size * count);
    std::string bytes(data, size * count);
    Client* self = run->client;
    self->Tell([self, id = run->id, bytes = std::move(bytes)] {
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
    const RunId id = run.id;
    if (run.is_probe) {
      Tell([this, reachable = result == CURLE_OK] {
        events_.OnProbed(reachable, clock_.Now());
      });
    } else if (result == CURLE_OK && run.meaning == HeadMeaning::kAnswer) {
      Tell([this, id] { events_.OnRunEnd(id, clock_.Now()); });
    } else {
      Tell([this, id, failure = FailureOf(run, result)] {
        events_.OnRunFailed(id, failure, clock_.Now());
      });
    }
    Release(run);
    runs_.erase(id);
  }

  static RunFailure FailureOf(const Run& run, CURLcode result) {
    const bool other = run.meaning == HeadMeaning::kOtherUpstream;
    if (other || run.meaning == HeadMeaning::kNotRun) {
      return {RunProgress::kRejected, false, "the upstream rejected it", other};
    }
    if (run.meaning == HeadMeaning::kForeign) {
      return {RunProgress::kSent, false, "not an answer to the request"};
    }
    RunProgress progress = RunProgress::kNotSent;
    if (run.sent) progress = RunProgress::kSent;
    if (run.head_told) progress = RunProgress::kAnswering;
    const bool lost =
        result == CURLE_COULDNT_CONNECT || result == CURLE_SEND_ERROR ||
        result == CURLE_RECV_ERROR || result == CURLE_GOT_NOTHING ||
        result == CURLE_PARTIAL_FILE || result == CURLE_ABORTED_BY_CALLBACK;
    return {progress, lost, curl_easy_strerror(result)};
  }

  void Release(Run& run) {
    curl_multi_remove_handle(multi_, run.easy);
    if (run.is_probe) {
      // Its connection serves no request and goes with the handle.
      curl_easy_cleanup(run.easy);
    } else {
      curl_easy_reset(run.easy);
      spare_.push_back(run.easy);
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
  std::vector<CURL*> spare_;  ///< Handles to use again.
  std::map<RunId, std::unique_ptr<Run>> runs_;
  long keep_alive_s_ = kKeepAliveSeconds;
  RunId last_probe_ = 0;  ///< Probes count down from the largest number.
};

}  // namespace

std::unique_ptr<UpstreamClient> MakeHttpUpstreamClient(
    const UpstreamClientConfig& config, RunEvents& events, EventLoop& loop,
    const Clock& clock) {
  return std::make_unique<Client>(config, events, loop, clock);
}

}  // namespace hibiscusglade
