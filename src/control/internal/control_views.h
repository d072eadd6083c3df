#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_CONTROL_VIEWS_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_CONTROL_VIEWS_H_

#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "admission/admission.h"
#include "consensus/replica.h"
#include "membership/membership.h"
#include "operator/operator_backend.h"
#include "versions/types/config_document.h"
#include "wire/storage.pb.h"

namespace hibiscusglade {

/// @return the code with a number that came over the wire.
std::error_code ErrorFromNumber(int number);

VersionRow RowOf(const wire::StoredVersion& in);
ProposalVerdict VerdictOfWire(const wire::PatchVerdict& in);

/// @return how far a version has come in each failure domain.
std::vector<DomainProgress> ProgressOf(const Membership& membership,
                                       uint64_t number);

/// @return the limits that a version sets for the local upstream.
AdmissionConfig LimitsOf(const ConfigVersion& version,
                         const std::optional<UpstreamAnnouncement>& upstream);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_CONTROL_VIEWS_H_
