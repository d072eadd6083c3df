#ifndef HIBISCUSGLADE_ENTRY_TESTS_ENTRY_FIXTURE_H_
#define HIBISCUSGLADE_ENTRY_TESTS_ENTRY_FIXTURE_H_

#include <gtest/gtest.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "entry/entry.h"
#include "routing/routing_result_codes.h"
#include "versions/config_reader.h"

namespace hibiscusglade {

/// Two routes with a timeout of one second.
constexpr char kDocument[] = R"({
  "services": {"plots": {}},
  "classes": {"short": {}},
  "routes": {
    "reads": {"path_prefix": "/reads/", "service": "plots", "class": "short",
              "repeatable": true, "hedge": true, "timeout_ms": 1000,
              "objective_ms": 300,
              "max_attempts": 3},
    "tags": {"path_prefix": "/tags/", "service": "plots", "class": "short",
             "repeatable": false, "timeout_ms": 1000, "max_attempts": 3}}})";

/// Records the attempts that are started and cancelled at owners.
struct SentAttempts : public OwnerLink {
  void Start(const std::string& owner, CallAttempt attempt) override {
    started.push_back({owner, attempt.id});
    objective = attempt.objective;
    last = attempt;
  }
  void Credit(const std::string&, const AttemptId&, uint64_t) override {}
  void Cancel(const std::string&, const AttemptId& attempt) override {
    cancelled.push_back(attempt);
  }
  void SendBody(const std::string&, const AttemptId& attempt, uint64_t offset,
                std::string data) override {
    EXPECT_EQ(offset, bodies[attempt].size());
    bodies[attempt] += data;
  }
  std::vector<std::pair<std::string, AttemptId>> started;
  CallAttempt last;
  std::map<AttemptId, std::string> bodies;  ///< Sent as granted.
  std::vector<AttemptId> cancelled;
  Duration objective{};  ///< Of the last attempt.
};

/// Records what the caller receives, as text.
class RecordingStream : public CallerStream {
 public:
  RecordingStream(std::string& received, Duration& retry_after)
      : received_(received), retry_after_(retry_after) {}
  void OnHead(const AnswerHead& head) override {
    received_ += "head " + std::to_string(head.status) + " ";
  }
  void OnData(std::string data) override { received_ += data + " "; }
  void OnEnd() override { received_ += "end"; }
  void OnBroken(const Refusal& reason) override {
    AppendRefusal("broken", reason);
  }
  void OnRefused(const Refusal& reason) override {
    AppendRefusal("refused", reason);
  }

 private:
  void AppendRefusal(const std::string& what, const Refusal& reason) {
    retry_after_ = reason.retry_after;
    received_ += what + " " + std::to_string(reason.code.value()) + " " +
                 std::string(CertaintyName(reason.certainty));
  }
  std::string& received_;
  Duration& retry_after_;
};

class AnEntry : public testing::Test {
 protected:
  AnEntry() { PublishVersion(1, kDocument); }

  void PublishVersion(uint64_t number, const std::string& document) {
    std::vector<SettingsFault> faults;
    routes_.Publish(std::make_shared<const RouteTable>(
        MakeConfigVersion(number, number - 1, document, "", faults),
        Instances()));
  }

  /// @return three instances with an upstream each.
  static std::vector<InstanceRecord> Instances() {
    std::vector<InstanceRecord> records;
    for (const char* name : {"x", "y", "z"}) {
      InstanceRecord record;
      record.instance = name;
      record.service = "plots";
      record.request_address = name;
      record.upstream_state = UpstreamState::kServing;
      records.push_back(record);
    }
    return records;
  }

  void Begin(const std::string& target, uint32_t depth = 0,
             Duration timeout = {}) {
    CallRequest request;
    request.timeout = timeout;
    request.method = "GET";
    request.target = target;
    request.depth = depth;
    received_.clear();
    owners_.started.clear();
    entry_->Begin(++last_call_, request,
                  std::make_unique<RecordingStream>(received_, retry_after_),
                  now_);
  }

  AttemptId Attempt(size_t number) { return owners_.started.at(number).second; }

  void Answer(const AttemptId& id, const std::string& body) {
    entry_->OnAnswerHead(id, {200, {}, -1}, kLoad, now_);
    entry_->OnAnswerChunk(id, 0, body, now_);
    entry_->OnAnswerEnd(id, {1, body.size(), DigestOf(body, 0)}, kLoad, now_);
  }

  void Refuse(const AttemptId& id, std::error_code code, Certainty certainty) {
    entry_->OnAnswerRefused(id, {code, certainty, "", {}}, kLoad, now_);
  }

  /// Completes enough reads for their latency percentile to be known.
  void CompleteManyReads() {
    for (int i = 0; i < 60; ++i) {
      Begin("/reads/1");
      now_ += std::chrono::milliseconds(10);
      Answer(Attempt(0), "body");
    }
  }

  double CounterValue(const std::string& line) {
    const std::string text = metrics_->Exposition();
    const size_t at = text.find(line + " ");
    return at == std::string::npos
               ? 0
               : std::strtod(text.c_str() + at + line.size() + 1, nullptr);
  }

  const LoadReport kLoad{1, 0, 6, std::chrono::milliseconds(5), true};
  Instant now_ = Instant(std::chrono::seconds(1000));
  std::string received_;    ///< By the caller of the last call.
  Duration retry_after_{};  ///< Of the last refusal.
  CallHandle last_call_ = 0;
  SentAttempts owners_;
  RouteTableHolder routes_;
  std::unique_ptr<Metrics> metrics_ = MakeMetrics();
  std::unique_ptr<UpstreamChooser> chooser_ = MakeUpstreamChooser({});
  std::unique_ptr<Entry> entry_ = MakeEntry(
      "e", 1, {owners_, routes_, *chooser_, *metrics_, NoCustomerLimits()});
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ENTRY_TESTS_ENTRY_FIXTURE_H_
