#ifndef HIBISCUSGLADE_CONTROL_INTERNAL_ASK_TARGETS_H_
#define HIBISCUSGLADE_CONTROL_INTERNAL_ASK_TARGETS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/digest.h"
#include "distribution/ask_directory.h"
#include "membership/types/instance_record.h"

namespace hibiscusglade {

/// Takes turns among the instances that the membership lists, and the seeds.
/// Suspected instances are included, and replicas that are declared dead:
/// whether they answer is found out by asking.
class AskTargets : public AskDirectory {
 public:
  /// Calls SetInstances(). Called before the next turn once the view has
  /// changed.
  using Refresh = std::function<void(AskTargets&)>;

  /// @param own_address control address of this daemon, which is never
  /// returned.
  AskTargets(std::string own_address, std::string own_domain, Refresh refresh);

  /// Marks the instances as out of date.
  void OnViewChanged() { outdated_ = true; }

  /// Replaces the instances. Those that remain keep their turns.
  /// @param relays names of the relays of the own failure domain.
  /// @param seeds control addresses.
  void SetInstances(const std::vector<InstanceRecord>& records,
                    const std::vector<std::string>& relays,
                    const std::vector<std::string>& seeds);

  std::string Next(AskScope scope) override;

 private:
  /// With digests that order the addresses differently at each daemon.
  using Addresses = std::map<std::string, Digest>;

  void Add(AskScope scope, const std::string& address);
  void ForgetRemoved();

  std::string own_address_;
  std::string own_domain_;
  Refresh refresh_;
  bool outdated_ = true;
  std::map<AskScope, Addresses> addresses_;
  /// Turn in which an address was last returned; absent: never.
  std::map<std::string, uint64_t> last_turns_;
  uint64_t turn_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CONTROL_INTERNAL_ASK_TARGETS_H_
