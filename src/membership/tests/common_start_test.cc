#include <gtest/gtest.h>

#include "membership/tests/simulated_mesh.h"

namespace hibiscusglade {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDomains = 4;
constexpr int kDaemonsPerDomain = 18;

/// A mesh whose daemons all start at one moment. Their upstreams have been
/// serving all the while and are found within the first half second.
class AMeshThatStarts : public SomeInstances {
 protected:
  AMeshThatStarts() {
    for (int i = 0; i < kDomains * kDaemonsPerDomain; ++i) {
      names_.push_back(std::string(1, static_cast<char>('a' + i % kDomains)) +
                       std::to_string(1 + i / kDomains));
    }
    for (const std::string& name : names_) Start(name);
  }

  void AnnounceUpstream(const std::string& name) {
    UpstreamAnnouncement upstream;
    upstream.service = "plots";
    upstream.address = name;
    upstream.slots = 6;
    Send(name, nodes_.at(name)->OnAnnounce(upstream, now_));
  }

  /// @return the share of all pairs of daemons of which the first knows the
  /// second's upstream.
  double KnownShare() const {
    size_t known = 0;
    for (const auto& [name, node] : nodes_) {
      for (const InstanceRecord& record : node->Records()) {
        if (record.upstream_state == UpstreamState::kServing) ++known;
      }
    }
    return static_cast<double>(known) /
           static_cast<double>(names_.size() * names_.size());
  }

  std::vector<std::string> names_;
};

TEST_F(AMeshThatStarts, KnowsNearlyAllUpstreamsSoonAfterTheyWereFound) {
  for (size_t i = 0; i < names_.size(); ++i) {
    if (i % 8 == 7) Run(milliseconds(50));
    AnnounceUpstream(names_[i]);
  }
  Run(milliseconds(250));
  EXPECT_GT(KnownShare(), 0.95);
  Run(milliseconds(250));
  EXPECT_GT(KnownShare(), 0.99);
}

TEST_F(AMeshThatStarts, GossipsAsSeldomAsEverAfterwards) {
  Run(seconds(6));
  const size_t before = sent_;
  Run(seconds(10));
  // A probe and its answer each second, a relay's of the other domains, and a
  // comparison in five seconds.
  EXPECT_LT((sent_ - before) / 10, names_.size() * 3);
}

}  // namespace
}  // namespace hibiscusglade
