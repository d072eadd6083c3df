#include "control/internal/control_views.h"

#include <map>
#include <utility>

#include "base/compression.h"
#include "consensus/consensus_result_codes.h"
#include "versions/versions_result_codes.h"

namespace hibiscusglade {
namespace {

/// The version ledger rejects larger sources.
constexpr size_t kMaxSourceBytes = size_t{4} << 20U;

}  // namespace

std::error_code ErrorFromNumber(int number) {
  if (number == 0) return {};
  if (ConsensusCategory().Find(number) != nullptr) {
    return static_cast<ConsensusCode>(number);
  }
  return static_cast<VersionsCode>(number);
}

VersionRow VersionRowFromWire(const wire::StoredVersion& in) {
  std::string source;
  if (!in.source().empty()) {
    source = Decompress(in.source(), kMaxSourceBytes).value_or("");
  }
  return {in.number(), in.parent(),      in.digest(), in.patch_id(),
          in.author(), in.accepted_at(), in.whole(),  std::move(source)};
}

ProposalVerdict VerdictFromWire(const wire::PatchVerdict& in) {
  ProposalVerdict verdict{
      ErrorFromNumber(in.code()), in.number(), in.latest(), {}};
  for (const wire::PatchFault& fault : in.faults()) {
    verdict.faults.push_back({fault.pointer(), fault.message()});
  }
  return verdict;
}

std::optional<UpstreamAnnouncement> ClosedByRollout(
    std::optional<UpstreamAnnouncement> upstream, const RolloutMap& rollouts) {
  if (!upstream.has_value()) return upstream;
  const auto found = rollouts.find(upstream->service);
  if (found != rollouts.end() &&
      IsClosed(found->second, upstream->software_version)) {
    upstream->state = UpstreamState::kDraining;
  }
  return upstream;
}

std::vector<DomainProgress> ProgressOf(const Membership& membership,
                                       uint64_t number) {
  std::map<std::string, DomainProgress> domains;
  for (const InstanceRecord& record : membership.Records()) {
    if (record.state == InstanceState::kLeft ||
        record.state == InstanceState::kDead) {
      continue;
    }
    DomainProgress& domain = domains[record.failure_domain];
    domain.failure_domain = record.failure_domain;
    ++domain.daemons;
    if (record.version_in_use >= number) {
      ++domain.in_force;
    } else {
      domain.lagging.push_back(record.instance);
    }
  }
  std::vector<DomainProgress> progress;
  for (auto& [name, domain] : domains) {
    domain.reachable = membership.DomainReachable(name);
    progress.push_back(std::move(domain));
  }
  return progress;
}

void SetVersionInUse(const VersionFollower& follower, Instant activated_at,
                     Instant now, DaemonStatus& status) {
  status.waiting_for = follower.WaitingFor();
  if (follower.InUse() == nullptr) return;
  status.version_in_use = follower.InUse()->number;
  status.version_age_ms =
      static_cast<uint64_t>((now - activated_at).count() / 1000);
  if (const auto age = follower.Age(now)) {
    status.confirmed_ms_ago = static_cast<uint64_t>(age->count() / 1000);
  }
}

AdmissionConfig LimitsOf(const ConfigVersion& version,
                         const std::optional<UpstreamAnnouncement>& upstream) {
  AdmissionConfig limits;
  limits.classes = version.document.classes;
  if (!upstream.has_value()) return limits;
  limits.slots = upstream->slots;
  auto service = version.document.services.find(upstream->service);
  if (service != version.document.services.end()) {
    limits.max_queue = service->second.max_queue;
    limits.ramp = service->second.ramp;
  }
  return limits;
}

}  // namespace hibiscusglade
