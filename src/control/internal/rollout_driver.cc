#include "control/internal/rollout_driver.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "peer/sender_name.h"
#include "rollouts/rollout_codec.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {
namespace {

constexpr Duration kReportInterval = std::chrono::milliseconds(500);

bool Runs(const Rollout& rollout) {
  return rollout.stage == RolloutStage::kRunning;
}

void ToWire(const RolloutReport& report, wire::RolloutReport& out) {
  out.set_service(report.service);
  out.set_order(report.order);
  out.set_step(report.step);
  out.set_closed(report.local.closed);
  out.set_open_runs(report.local.open);
  for (const auto& [key, counts] : report.counts) {
    wire::RolloutReport::Outcome* outcome = out.add_outcomes();
    outcome->set_route(key.route);
    outcome->set_target(key.target);
    outcome->set_instance(key.instance);
    outcome->set_requests(counts.requests);
    outcome->set_failures(counts.failures);
    for (const uint64_t count : counts.latencies) {
      outcome->add_latencies(static_cast<uint32_t>(count));
    }
  }
}

RolloutReport FromWire(const wire::RolloutReport& in) {
  RolloutReport report;
  report.service = in.service();
  report.order = in.order();
  report.step = in.step();
  report.local = {in.closed(), in.open_runs()};
  for (const wire::RolloutReport::Outcome& outcome : in.outcomes()) {
    OutcomeCounts& counts =
        report.counts[{outcome.route(), outcome.target(), outcome.instance()}];
    counts.requests = outcome.requests();
    counts.failures = outcome.failures();
    const auto classes = std::min(
        kLatencyClasses, static_cast<size_t>(outcome.latencies_size()));
    for (size_t i = 0; i < classes; ++i) {
      counts.latencies[i] = outcome.latencies(static_cast<int>(i));
    }
  }
  return report;
}

}  // namespace

void RolloutDriver::Report(const RolloutMap& known, Instant now) {
  if (tally_ == nullptr || now < next_report_) return;
  next_report_ = now + kReportInterval;
  for (const auto& [service, rollout] : known) {
    if (!Runs(rollout)) continue;
    const RolloutReport report{service, rollout.order, rollout.step,
                               tally_->CountsOf(service, rollout.order),
                               tally_->Local()};
    wire::Envelope message;
    ToWire(report, *message.mutable_rollout_report());
    NameSender(self_, message);
    for (const std::string& replica : replicas_) {
      messenger_.SendOrDeliver(replica, message);
    }
  }
}

void RolloutDriver::OnReport(const wire::Envelope& message, Instant now) {
  const RolloutReport report = FromWire(message.rollout_report());
  led_[report.service].reports.Add(message.instance(), message.incarnation(),
                                   report, now);
}

void RolloutDriver::Lead(const RolloutMap& recorded,
                         const std::vector<InstanceRecord>& records,
                         Instant now) {
  const int64_t now_ms = clock_.UnixMicros() / 1000;
  for (const auto& [service, rollout] : recorded) {
    if (!Runs(rollout)) {
      led_.erase(service);
      continue;
    }
    Led& led = led_[service];
    if (led.submitted) continue;
    const Duration since_order = std::chrono::milliseconds(
        std::max<int64_t>(0, now_ms - rollout.ordered_at_ms));
    const RolloutView view =
        led.reports.ViewOf(rollout, records, since_order, now);
    if (const auto next = led.controller.Next(view)) Submit(*next);
  }
}

void RolloutDriver::Submit(const Rollout& next) {
  led_[next.service].submitted = true;
  wire::PatchCommand command;
  hibiscusglade::ToWire(next, *command.mutable_rollout()->mutable_state());
  const auto done = [this, next](const ReplicaResult& result) {
    const auto led = led_.find(next.service);
    if (led != led_.end()) led->second.submitted = false;
    wire::PatchVerdict verdict;
    const bool recorded = !result.error &&
                          verdict.ParseFromString(result.result) &&
                          verdict.code() == 0;
    metrics_
        .CounterOf("rollout_steps_total",
                   recorded ? "result=\"recorded\"" : "result=\"refused\"")
        .Add();
    const LogFields fields = {
        {"service", next.service},
        {"target_version", next.target_version},
        {"state", NameOf(next.stage)},
        {"share_permille", std::to_string(next.share_permille)},
        {"closes_others", next.closes_others ? "yes" : "no"},
        {"step", std::to_string(next.step)},
        {"code",
         std::to_string(result.error ? result.error.value() : verdict.code())},
        {"reason", next.reason}};
    if (recorded) {
      Log(LogLevel::kInfo, "control", "A rollout has taken a step.", fields);
    } else {
      Log(LogLevel::kWarning, "control",
          "A step of a rollout was not recorded.", fields);
    }
  };
  group_client_.Submit(GroupId::kVersions, command.SerializeAsString(), false,
                       clock_.Now(), done);
}

}  // namespace hibiscusglade
