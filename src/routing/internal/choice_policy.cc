#include <array>

#include "routing/upstream_chooser.h"

namespace hibiscusglade {
namespace {

struct NamedPolicy {
  std::string_view name;
  ChoicePolicy policy;
};
constexpr std::array<NamedPolicy, 8> kPolicies = {
    {{"round_robin", ChoicePolicy::kRoundRobin},
     {"random", ChoicePolicy::kRandom},
     {"least_loaded", ChoicePolicy::kLeastLoaded},
     {"two_choices", ChoicePolicy::kTwoChoices},
     {"two_choices_by_speed", ChoicePolicy::kTwoChoicesBySpeed},
     {"remaining", ChoicePolicy::kRemaining},
     {"remaining_not_twice", ChoicePolicy::kRemainingNotTwice},
     {"shortest_time", ChoicePolicy::kShortestTime}}};

}  // namespace

std::optional<ChoicePolicy> ParseChoicePolicy(std::string_view name) {
  for (const NamedPolicy& known : kPolicies) {
    if (known.name == name) return known.policy;
  }
  return std::nullopt;
}

}  // namespace hibiscusglade
