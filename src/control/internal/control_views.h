#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_CONTROL_VIEWS_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_CONTROL_VIEWS_H_

#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "admission/admission.h"
#include "consensus/replica.h"
#include "distribution/version_follower.h"
#include "membership/membership.h"
#include "operator/operator_backend.h"
#include "rollouts/types/rollout.h"
#include "versions/types/config_document.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {

/// @return the result code for a number received on the wire; 0 is no error.
std::error_code ErrorFromNumber(int number);

VersionRow VersionRowFromWire(const wire::StoredVersion& in);
ProposalVerdict VerdictFromWire(const wire::PatchVerdict& in);

/// @return for each failure domain, how many daemons have a version or a later
/// one in use, and which instances lag.
std::vector<DomainProgress> ProgressOf(const Membership& membership,
                                       uint64_t number);

/// @return the local upstream, draining when a rollout gives its version no new
/// requests, so that its owner refuses them as not run whoever sends them.
std::optional<UpstreamAnnouncement> ClosedByRollout(
    std::optional<UpstreamAnnouncement> upstream, const RolloutMap& rollouts);

/// Sets what a status says of the version in use, if there is one.
/// @param activated_at when that version came into use.
void SetVersionInUse(const VersionFollower& follower, Instant activated_at,
                     Instant now, DaemonStatus& status);

/// @return the limits that a version sets for the local upstream; without a
/// local upstream, only the limits of the request classes.
AdmissionConfig LimitsOf(const ConfigVersion& version,
                         const std::optional<UpstreamAnnouncement>& upstream);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_CONTROL_VIEWS_H_
