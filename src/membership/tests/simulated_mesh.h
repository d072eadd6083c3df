#ifndef HIBISCUSGLADE_MEMBERSHIP_TESTS_SIMULATED_MESH_H_
#define HIBISCUSGLADE_MEMBERSHIP_TESTS_SIMULATED_MESH_H_

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "membership/membership.h"

namespace hibiscusglade {

/// Simulates instances that exchange messages without delay, unless the link is
/// cut. An instance's address is its name; its failure domain is the first
/// letter of the name.
class SomeInstances : public testing::Test {
 protected:
  void Start(const std::string& name, uint64_t incarnation = 1) {
    MembershipConfig config;
    config.self.instance = name;
    config.self.failure_domain = name.substr(0, 1);
    config.self.incarnation = incarnation;
    config.self.control_address = name;
    config.seeds = {"a1", "b1"};
    nodes_[name] = MakeMembership(config, DigestOf(name), now_);
  }

  void Run(Duration length) {
    for (const Instant end = now_ + length; now_ < end;
         now_ += std::chrono::milliseconds(50)) {
      for (auto& [name, node] : nodes_) Send(name, node->OnTick(now_));
      while (!queue_.empty()) {
        const Message message = queue_.front();
        queue_.pop_front();
        auto node = nodes_.find(message.to);
        if (node == nodes_.end() || IsCut(message.from, message.to)) continue;
        Send(message.to,
             node->second->OnMessage(message.from, message.body, now_));
      }
    }
  }

  void Send(const std::string& from, const MembershipEffects& effects) {
    if (effects.changed) ++changes_[from];
    for (const MembershipSend& sent : effects.send) {
      ++sent_;
      queue_.push_back({from, sent.address, sent.message});
    }
  }

  bool IsCut(const std::string& from, const std::string& to) const {
    return cut_links_.contains({from, to}) || dark_.contains(from) ||
           dark_.contains(to) ||
           (from[0] != to[0] &&
            (cut_domains_.contains(from[0]) || cut_domains_.contains(to[0])));
  }

  InstanceState StateAt(const std::string& viewer, const std::string& name) {
    for (const InstanceRecord& record : nodes_.at(viewer)->Records()) {
      if (record.instance == name) return record.state;
    }
    return InstanceState::kDead;
  }

  size_t CountAt(const std::string& viewer) {
    return nodes_.at(viewer)->Records().size();
  }

  struct Message {
    std::string from;
    std::string to;
    MembershipMessage body;
  };

  Instant now_ = Instant(std::chrono::seconds(1000));
  std::map<std::string, std::unique_ptr<Membership>> nodes_;
  std::deque<Message> queue_;
  std::set<std::pair<std::string, std::string>> cut_links_;
  std::set<char> cut_domains_;
  std::map<std::string, int> changes_;  ///< Reported by each instance.
  std::set<std::string> dark_;          ///< Neither send nor receive.
  size_t sent_ = 0;                     ///< Messages of all instances.
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_MEMBERSHIP_TESTS_SIMULATED_MESH_H_
