#ifndef HIBISCUSGLADE_ROUTING_TYPES_ROUTE_TABLE_H_
#define HIBISCUSGLADE_ROUTING_TYPES_ROUTE_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "membership/types/instance_record.h"
#include "versions/types/config_document.h"

namespace hibiscusglade {

/// One upstream that may be chosen.
struct UpstreamTarget {
  std::string instance;
  std::string failure_domain;
  std::string owner_address;  ///< Request address of the daemon beside it.
  uint32_t slots = 0;
  uint64_t incarnation = 0;

  friend bool operator==(const UpstreamTarget&,
                         const UpstreamTarget&) = default;
};

/// One configuration version and one set of upstreams, built together, so
/// that no route points at a service or an upstream the daemon does not have.
class RouteTable {
 public:
  /// @param version the version in use.
  /// @param records instances known to this daemon; only those alive with a
  /// serving upstream are taken.
  RouteTable(ConfigVersionPtr version,
             const std::vector<InstanceRecord>& records);

  /// @param host as the caller named it, with or without a port.
  /// @return the route of the host with the longest matching prefix that
  /// allows the method; nullptr when there is none.
  const RouteConfig* Match(std::string_view host, std::string_view method,
                           std::string_view target) const;

  /// @return upstreams of a service, sorted by instance; may be empty.
  const std::vector<UpstreamTarget>& UpstreamsOf(
      const std::string& service) const;

  const ConfigDocument& Document() const { return version_->document; }
  uint64_t VersionNumber() const { return version_->number; }

 private:
  ConfigVersionPtr version_;
  std::vector<const RouteConfig*> by_length_;  ///< Longest prefix first.
  std::map<std::string, std::vector<UpstreamTarget>> upstreams_;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ROUTING_TYPES_ROUTE_TABLE_H_
