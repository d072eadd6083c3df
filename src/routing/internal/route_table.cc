#include "routing/types/route_table.h"

#include <strings.h>

#include <algorithm>
#include <utility>

namespace hibiscusglade {
namespace {

/// Host names are case-insensitive.
bool SameHost(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

RouteTable::RouteTable(ConfigVersionPtr version,
                       const std::vector<InstanceRecord>& records,
                       const RouteTable* previous)
    : RouteTable(std::move(version), MeshView{records, {}}, previous) {}

RouteTable::RouteTable(ConfigVersionPtr version, MeshView view,
                       const RouteTable* previous)
    : version_(std::move(version)),
      rollouts_(std::move(view.rollouts)),
      customers_(
          previous != nullptr && previous->version_ == version_
              ? previous->customers_
              : std::make_shared<CustomerDirectory>(version_->document)) {
  std::map<std::string, std::vector<UpstreamTarget>> upstreams;
  for (const auto& [name, service] : version_->document.services) {
    upstreams[name];
  }
  for (const auto& [name, route] : version_->document.routes) {
    routes_by_prefix_length_.push_back(&route);
  }
  std::stable_sort(routes_by_prefix_length_.begin(),
                   routes_by_prefix_length_.end(),
                   [](const RouteConfig* a, const RouteConfig* b) {
                     return a->path_prefix.size() > b->path_prefix.size();
                   });
  for (const InstanceRecord& record : view.records) {
    AddDaemon(record);
    auto service = upstreams.find(record.service);
    const bool accepts_requests =
        record.state == InstanceState::kAlive &&
        (record.upstream_state == UpstreamState::kServing ||
         record.upstream_state == UpstreamState::kStarting);
    if (service == upstreams.end() || !accepts_requests) continue;
    service->second.push_back({record.instance, record.failure_domain,
                               record.request_address, record.slots,
                               record.incarnation, record.upstream_version});
  }
  for (auto& [domain, daemons] : daemons_) {
    std::ranges::sort(daemons, {}, &DomainDaemon::instance);
  }
  for (auto& [name, targets] : upstreams) {
    std::sort(targets.begin(), targets.end(),
              [](const UpstreamTarget& a, const UpstreamTarget& b) {
                return a.instance < b.instance;
              });
    upstreams_[name] =
        std::make_shared<const std::vector<UpstreamTarget>>(std::move(targets));
  }
}

void RouteTable::AddDaemon(const InstanceRecord& record) {
  std::vector<DomainDaemon>& daemons = daemons_[record.failure_domain];
  if (record.state > InstanceState::kSuspected) return;
  daemons.push_back({record.instance, record.failure_domain,
                     record.request_address, record.incarnation,
                     record.service});
}

const Rollout* RouteTable::RolloutOf(const std::string& service) const {
  const auto found = rollouts_.find(service);
  return found == rollouts_.end() ? nullptr : &found->second;
}

const std::vector<DomainDaemon>& RouteTable::DaemonsOf(
    const std::string& failure_domain) const {
  static const std::vector<DomainDaemon> none;
  const auto found = daemons_.find(failure_domain);
  return found == daemons_.end() ? none : found->second;
}

std::vector<std::string> RouteTable::FailureDomains() const {
  std::vector<std::string> names;
  for (const auto& [name, daemons] : daemons_) names.push_back(name);
  return names;
}

const RouteConfig* RouteTable::Match(std::string_view host,
                                     std::string_view method,
                                     std::string_view target) const {
  const std::string_view name = host.substr(0, host.find(':'));
  const std::string_view path = target.substr(0, target.find('?'));
  for (const RouteConfig* route : routes_by_prefix_length_) {
    if (!path.starts_with(route->path_prefix)) continue;
    if (!route->host.empty() && !SameHost(route->host, name)) continue;
    if (route->methods.empty() ||
        std::find(route->methods.begin(), route->methods.end(), method) !=
            route->methods.end()) {
      return route;
    }
  }
  return nullptr;
}

UpstreamListPtr RouteTable::UpstreamsOf(const std::string& service) const {
  static const UpstreamListPtr none =
      std::make_shared<const std::vector<UpstreamTarget>>();
  auto found = upstreams_.find(service);
  return found == upstreams_.end() ? none : found->second;
}

}  // namespace hibiscusglade
