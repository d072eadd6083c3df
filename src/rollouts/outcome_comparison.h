#ifndef HIBISCUSGLADE_ROLLOUTS_OUTCOME_COMPARISON_H_
#define HIBISCUSGLADE_ROLLOUTS_OUTCOME_COMPARISON_H_

#include <optional>
#include <string>

#include "rollouts/rollout_tally.h"

namespace hibiscusglade {

/// Compares the target version with the others in the same seconds, over all
/// routes and by route: how often requests fail, and how often they take
/// several times as long as most of those at the others.
///
/// Load pattern: disturbances hit both alike, so they condemn nobody; one
/// upstream of the target version that fails or is slow by itself is left out
/// of a comparison of three or more.
/// @return why the target version is worse, with figures; nullopt: it isn't, or
/// too little is known.
std::optional<std::string> WhyWorse(const OutcomeMap& counts);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROLLOUTS_OUTCOME_COMPARISON_H_
