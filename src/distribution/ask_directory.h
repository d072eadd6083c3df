#ifndef HIBISCUSGLADE_DISTRIBUTION_ASK_DIRECTORY_H_
#define HIBISCUSGLADE_DISTRIBUTION_ASK_DIRECTORY_H_

#include <cstdint>
#include <string>

namespace hibiscusglade {

/// The instances among which one is asked for the latest version.
enum class AskScope : uint8_t {
  kOwnRelays = 0,     ///< Relays of the own failure domain.
  kOwnDomain = 1,     ///< All daemons of the own failure domain.
  kReplicas = 2,      ///< Control replicas and seeds.
  kOtherDomains = 3,  ///< Daemons of other failure domains.
};

/// Knows whom a follower may ask besides its peers.
class AskDirectory {
 public:
  virtual ~AskDirectory() = default;

  /// Takes turns: each instance of a scope is returned once before any is
  /// returned again, whether it answered or not.
  /// @return control address of the next instance; empty when there is none.
  virtual std::string Next(AskScope scope) = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_DISTRIBUTION_ASK_DIRECTORY_H_
