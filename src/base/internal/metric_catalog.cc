#include "base/metric_catalog.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace hibiscusglade {
namespace {

constexpr MetricInfo kMetrics[] = {
    {"announcements_ignored_total", "counter", "",
     "Announcements that were out of date, or not of the upstream expected "
     "beside this daemon.",
     "When it keeps growing: compare the upstream's service, address and clock "
     "with the settings."},
    {"body_missing_bytes", "gauge", "",
     "Bytes of requests' bodies that were taken and have not arrived.",
     "When it stays high: add instances of the service."},
    {"body_refusals_total", "counter", "",
     "Attempts refused because their bodies would arrive too late.",
     "When it grows: add instances of the service."},
    {"call_refusals_total", "counter", "code", "Calls that the entry refused.",
     "Look the code up in RESULT_CODES."},
    {"call_seconds", "summary", "",
     "Time from a call's begin at the entry to the end of its answer.",
     "When the 0.99 quantile grows: look for slow upstreams and full queues."},
    {"caller_refusals_total", "counter", "code", "Refusals sent to callers.",
     "Look the code up in RESULT_CODES."},
    {"caller_requests_cut_total", "counter", "reason",
     "Begun requests left unanswered when their connection ended, by why it "
     "ended.",
     "When answer_broken grows: look for lost links and dying upstreams."},
    {"choices_total", "counter", "reason",
     "Choices of an upstream outside the own domain, beside the entry, or to "
     "probe one.",
     "When spill_over grows: add upstreams in this failure domain."},
    {"control_turn_seconds", "summary", "",
     "Time that a turn of the control thread took beyond its wait.",
     "When the 0.99 quantile grows: look for large documents and slow disks."},
    {"flow_changes_total", "counter", "",
     "Times that work of a service began or ceased to leave this failure "
     "domain by plan.",
     "When it keeps growing: add upstreams of the service that the log names."},
    {"flow_share", "gauge", "service",
     "Share of this failure domain's requests that is planned to leave it; at "
     "the service's coordinator.",
     "When it stays above 0: add upstreams of the service in this failure "
     "domain."},
    {"hedges_total", "counter", "reason",
     "Hedges sent, won, or not sent and why.",
     "When won grows: look for stragglers and slow upstreams."},
    {"instances", "gauge", "state",
     "Instances that this daemon knows, by state.",
     "Check suspected and dead instances and the network to them."},
    {"leaves_unrecorded_total", "counter", "",
     "Leaves of the local upstream that the replicas did not record in time, "
     "so that they were not acknowledged.",
     "When it rises: see whether a majority of the replicas is reachable."},
    {"limit_passes_total", "counter", "reason",
     "Requests within their customers' limits: far below them, on credit near "
     "them, or on this daemon's safe share.",
     "When alone grows: check the coordinator with hibiscusgladectl limits."},
    {"limit_refusals_total", "counter", "reason",
     "Requests refused: over the limit, too many not acknowledged yet, or the "
     "safe share used up.",
     "When unacked or alone_over grows: check the coordinator with "
     "hibiscusgladectl limits."},
    {"limit_returns_total", "counter", "",
     "Requests within the limit that no upstream ran, and that were given "
     "back.",
     "Nothing."},
    {"limit_sent_bytes_total", "counter", "",
     "Bytes of messages about limits sent to other daemons.",
     "Compare with the figures in docs/design/quotas.md."},
    {"link_backlog_bytes", "gauge", "",
     "Bytes of answers that the link of this instance still has to carry.",
     "When it stays high: add instances of the service."},
    {"link_dropped_bytes_total", "counter", "",
     "Bytes of answers that were dropped before the link, as their entries no "
     "longer needed them.",
     "When it grows: callers leave before they are answered."},
    {"link_refusals_total", "counter", "",
     "Attempts refused because their answers would cross the link too late.",
     "When it grows: add instances of the service."},
    {"link_wait_seconds", "summary", "",
     "Time from a large answer's last byte from the upstream to its last byte "
     "on the link.",
     "When the 0.99 quantile grows: add instances of the service."},
    {"owner_refusals_total", "counter", "code",
     "Attempts that the daemon beside the upstream refused.",
     "Look the code up in RESULT_CODES."},
    {"peer_received_bytes_total", "counter", "plane",
     "Bytes of frames received from other daemons.",
     "Compare with the limit of the control plane in CAPACITY."},
    {"peer_refusals_total", "counter", "code",
     "Frames of other daemons that were refused or could not be sent.",
     "On 9003 or 9004: check mesh and release of both daemons."},
    {"peer_sent_bytes_total", "counter", "plane",
     "Bytes of frames sent to other daemons.",
     "Compare with the limit of the control plane in CAPACITY."},
    {"refused_for_calls_total", "counter", "",
     "New requests refused because the calls that follow them are refused.",
     "When it grows: add instances of the service that is called."},
    {"retries_denied_total", "counter", "reason",
     "Failed attempts that were not tried again, by the reason.",
     "When budget grows: find the refusing owners with owner_refusals_total."},
    {"retries_total", "counter", "code",
     "Attempts after the first, by the refusal that led to them.",
     "Find the refusing owners with owner_refusals_total."},
    {"lost_links_total", "counter", "",
     "Connections to owners that were lost while attempts were open.",
     "When it keeps growing: look for daemons that stop or crash."},
    {"rollout_steps_total", "counter", "result",
     "Steps of rollouts that this replica has taken, recorded or refused.",
     "When refused grows: see whether a majority of the replicas is "
     "reachable."},
    {"silent_links_total", "counter", "",
     "Connections to other daemons replaced after falling silent.",
     "When it keeps growing: check the network between the daemons."},
    {"start_stage_seconds", "gauge", "stage",
     "Time from the daemon's start to a stage of it: peers, leader (of the "
     "replica's group), floor, version, upstream.",
     "When one is missing or late: look in OPERATIONS.md, \"Why does it refuse "
     "after a restart?\"."},
    {"stopping", "gauge", "", "1 while the daemon drains.", "Nothing."},
    {"upstream_deaths_total", "counter", "",
     "Times that the upstream beside this daemon died under requests.",
     "Check for a quarantined request and read the upstream's log."},
    {"upstream_ejections_total", "counter", "",
     "Times that the entry left a slow upstream out of its choice.",
     "Find the slow upstream and check what else runs on its machine."},
    {"upstream_returns_total", "counter", "",
     "Times that an upstream left out was taken back.", "Nothing."},
    {"upstreams_serving", "gauge", "service",
     "Upstreams that serve, by service.",
     "When it falls: check the upstreams' announcements."},
    {"version_age_seconds", "gauge", "",
     "Time since the version in use was put in use.", "Nothing."},
    {"version_asks_total", "counter", "",
     "Times that another daemon was asked for the latest version, as none had "
     "confirmed it in time.",
     "When it keeps growing: check the replicas' leader and the network."},
    {"version_confirmed_seconds", "gauge", "",
     "Time since the version in use was confirmed as the latest one.",
     "When it stays above 2: check the replicas' leader and the network."},
    {"version_in_use", "gauge", "", "Number of the version in use.",
     "When it lags behind other daemons: check the daemon's network and log."},
};

}  // namespace

const MetricInfo* FindMetric(std::string_view name) {
  const auto* found = std::find_if(
      std::begin(kMetrics), std::end(kMetrics),
      [name](const MetricInfo& info) { return info.name == name; });
  return found == std::end(kMetrics) ? nullptr : found;
}

std::string DescribeMetrics() {
  std::string out =
      "| metric | type | label | meaning | what to do |\n"
      "|---|---|---|---|---|\n";
  for (const MetricInfo& info : kMetrics) {
    out += "| `hibiscusglade_";
    out += info.name;
    for (std::string_view cell :
         {info.type, info.labels, info.help, info.action}) {
      out += cell.data() == info.type.data() ? "` | " : " | ";
      out += cell;
    }
    out += " |\n";
  }
  return out;
}

}  // namespace hibiscusglade
