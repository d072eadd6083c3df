#ifndef HIBISCUSGLADE_ROUTING_TYPES_ROUTE_TABLE_H_
#define HIBISCUSGLADE_ROUTING_TYPES_ROUTE_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "customers/customer_directory.h"
#include "membership/types/instance_record.h"
#include "rollouts/types/rollout.h"
#include "routing/domain_coordinator.h"
#include "versions/types/config_document.h"

namespace hibiscusglade {

/// One upstream to which requests may be sent.
struct UpstreamTarget {
  std::string instance;
  std::string failure_domain;
  std::string owner_address;  ///< Request address of its owner.
  uint32_t slots = 0;
  uint64_t incarnation = 0;
  std::string version;  ///< Of the upstream's software; empty: unknown.

  friend bool operator==(const UpstreamTarget&,
                         const UpstreamTarget&) = default;
};

/// Upstreams of one service, sorted by instance. May be used for longer than
/// the table that it is from.
using UpstreamListPtr = std::shared_ptr<const std::vector<UpstreamTarget>>;

/// What a daemon knows beside the version in use when a table is built.
struct MeshView {
  std::vector<InstanceRecord> records;
  RolloutMap rollouts;
};

/// Immutable combination of one configuration version, one set of upstreams and
/// the rollouts, built together so that no route refers to a service or an
/// upstream that the daemon does not know.
class RouteTable {
 public:
  /// @param version the version in use.
  /// @param view instances and rollouts known to this daemon; instances that
  /// are not alive or whose upstream is neither serving nor starting are left
  /// out of the upstreams.
  /// @param previous table in use, if any; one of the same version shares its
  /// directory of customers, so that a change of an instance costs no more
  /// where there are many keys.
  RouteTable(ConfigVersionPtr version, MeshView view,
             const RouteTable* previous = nullptr);

  /// @param records as of a view without rollouts.
  RouteTable(ConfigVersionPtr version,
             const std::vector<InstanceRecord>& records,
             const RouteTable* previous = nullptr);

  /// @param host as given by the caller, with or without a port.
  /// @param target path and query.
  /// @return the route with the longest matching prefix that allows the host
  /// and the method; nullptr when there is none.
  const RouteConfig* Match(std::string_view host, std::string_view method,
                           std::string_view target) const;

  /// @return upstreams of a service; may be empty, never nullptr.
  UpstreamListPtr UpstreamsOf(const std::string& service) const;

  /// @return the last rollout of a service; nullptr when there was none.
  const Rollout* RolloutOf(const std::string& service) const;

  /// @return the daemons of a failure domain that are neither dead nor gone,
  /// sorted by instance; those that are suspected are included.
  const std::vector<DomainDaemon>& DaemonsOf(
      const std::string& failure_domain) const;

  /// @return names of the failure domains of all known instances.
  std::vector<std::string> FailureDomains() const;

  const CustomerDirectory& Customers() const { return *customers_; }
  const ConfigDocument& Document() const { return version_->document; }
  uint64_t VersionNumber() const { return version_->number; }
  /// @return size of the version's document as text, in bytes.
  size_t TextBytes() const { return version_->text.size(); }

 private:
  void AddDaemon(const InstanceRecord& record);

  ConfigVersionPtr version_;
  /// Longest prefix first.
  std::vector<const RouteConfig*> routes_by_prefix_length_;
  std::map<std::string, UpstreamListPtr> upstreams_;
  RolloutMap rollouts_;
  std::map<std::string, std::vector<DomainDaemon>> daemons_;
  std::shared_ptr<const CustomerDirectory> customers_;  ///< Of `version_`.
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_TYPES_ROUTE_TABLE_H_
