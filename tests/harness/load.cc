#include "tests/harness/load.h"

#include <curl/curl.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <cstring>
#include <mutex>
#include <thread>

namespace hibiscusglade {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kMaxPollMs = 2;

/// A call in progress.
struct Transfer {
  LoadCall call;
  Clock::time_point scheduled_start;
  std::string body;
  int result_code = 0;
  curl_slist* header_lines = nullptr;
};

size_t AppendBody(char* data, size_t size, size_t count, void* cls) {
  static_cast<Transfer*>(cls)->body.append(data, size * count);
  return size * count;
}

size_t ParseResultCode(char* data, size_t size, size_t count, void* cls) {
  const std::string line(data, size * count);
  constexpr char kField[] = "x-result-code:";
  if (strncasecmp(line.c_str(), kField, sizeof(kField) - 1) == 0) {
    static_cast<Transfer*>(cls)->result_code =
        std::atoi(line.c_str() + sizeof(kField) - 1);
  }
  return size * count;
}

/// Sends every n-th call of a load, n being the number of threads.
class Sender {
 public:
  Sender(const LoadSpec& spec, const std::vector<Clock::duration>& start_times,
         uint64_t first_call, Clock::time_point start)
      : spec_(spec),
        start_times_(start_times),
        next_call_(first_call),
        start_(start) {
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS,
                      static_cast<long>(spec.connections_per_thread));
  }
  ~Sender() { curl_multi_cleanup(multi_); }

  void Run() {
    while (next_call_ < start_times_.size() || open_transfers_ > 0) {
      StartDueCalls();
      int running = 0;
      curl_multi_perform(multi_, &running);
      CollectFinished();
      curl_multi_poll(multi_, nullptr, 0, PollTimeoutMs(), nullptr);
    }
  }

  std::map<std::string, LoadResult>& Results() { return results_; }

 private:
  int PollTimeoutMs() const {
    if (next_call_ >= start_times_.size()) return kMaxPollMs;
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
        start_ + start_times_[next_call_] - Clock::now());
    return static_cast<int>(std::clamp<int64_t>(wait.count(), 0, kMaxPollMs));
  }

  void StartDueCalls() {
    while (next_call_ < start_times_.size() &&
           Clock::now() >= start_ + start_times_[next_call_]) {
      auto* transfer = new Transfer;
      transfer->call = spec_.call(next_call_);
      transfer->scheduled_start = start_ + start_times_[next_call_];
      next_call_ += static_cast<uint64_t>(spec_.threads);
      Start(transfer);
    }
  }

  void Start(Transfer* transfer) {
    const LoadCall& call = transfer->call;
    ++results_[call.label].sent;
    ++open_transfers_;
    CURL* easy = curl_easy_init();
    for (const std::string& field : call.fields) {
      transfer->header_lines =
          curl_slist_append(transfer->header_lines, field.c_str());
    }
    transfer->header_lines =
        curl_slist_append(transfer->header_lines, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(2 * call.timeout_ms));
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->header_lines);
    if (!call.body.empty()) {
      curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                       static_cast<long>(call.body.size()));
      curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
    }
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &AppendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &ParseResultCode);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_multi_add_handle(multi_, easy);
  }

  void CollectFinished() {
    int messages_left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &messages_left)) {
      CURL* easy = message->easy_handle;
      const bool complete = message->data.result == CURLE_OK;
      Transfer* transfer = nullptr;
      curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
      long status = 0;
      curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
      RecordResult(*transfer, complete, status);
      curl_multi_remove_handle(multi_, easy);
      curl_easy_cleanup(easy);
      curl_slist_free_all(transfer->header_lines);
      delete transfer;
      --open_transfers_;
    }
  }

  void RecordResult(const Transfer& transfer, bool complete, long status) {
    LoadResult& result = results_[transfer.call.label];
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(
        Clock::now() - transfer.scheduled_start);
    if (!complete) {
      ++result.broken;
    } else if (status != 200) {
      ++result.refusals[transfer.result_code];
    } else if (!transfer.call.expected_body.empty() &&
               transfer.body != transfer.call.expected_body) {
      ++result.wrong;
    } else {
      ++result.good;
      if (latency > std::chrono::milliseconds(transfer.call.timeout_ms)) {
        ++result.late;
      }
      result.latencies_us.push_back(latency.count());
    }
  }

  const LoadSpec& spec_;
  const std::vector<Clock::duration>& start_times_;
  uint64_t next_call_;
  Clock::time_point start_;
  CURLM* multi_;
  int open_transfers_ = 0;
  std::map<std::string, LoadResult> results_;
};

std::vector<Clock::duration> StartTimes(const LoadSpec& spec) {
  std::vector<Clock::duration> start_times;
  double seconds = 0;
  const double length = std::chrono::duration<double>(spec.length).count();
  while (seconds < length) {
    start_times.push_back(std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(seconds)));
    const auto at =
        std::chrono::milliseconds(static_cast<int64_t>(seconds * 1000));
    seconds += 1.0 / std::max(1.0, spec.rate(at));
  }
  return start_times;
}

void Merge(const LoadResult& from, LoadResult& into) {
  into.sent += from.sent;
  into.good += from.good;
  into.wrong += from.wrong;
  into.broken += from.broken;
  into.late += from.late;
  for (const auto& [code, count] : from.refusals) into.refusals[code] += count;
  into.latencies_us.insert(into.latencies_us.end(), from.latencies_us.begin(),
                           from.latencies_us.end());
}

}  // namespace

int64_t LoadResult::Quantile(double quantile) const {
  if (latencies_us.empty()) return 0;
  std::vector<int64_t> sorted = latencies_us;
  std::sort(sorted.begin(), sorted.end());
  const auto rank = static_cast<size_t>(
      std::ceil(quantile * static_cast<double>(sorted.size())));
  return sorted[std::clamp<size_t>(rank, 1, sorted.size()) - 1];
}

std::map<std::string, LoadResult> RunLoad(const LoadSpec& spec) {
  const std::vector<Clock::duration> start_times = StartTimes(spec);
  const Clock::time_point start = Clock::now() + std::chrono::milliseconds(20);
  std::map<std::string, LoadResult> results;
  std::mutex mutex;
  std::vector<std::thread> threads;
  for (int i = 0; i < spec.threads; ++i) {
    threads.emplace_back([&, i] {
      Sender sender(spec, start_times, static_cast<uint64_t>(i), start);
      sender.Run();
      std::lock_guard<std::mutex> lock(mutex);
      for (const auto& [label, result] : sender.Results()) {
        Merge(result, results[label]);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  return results;
}

}  // namespace hibiscusglade
