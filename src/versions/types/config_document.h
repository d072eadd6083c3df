#ifndef HIBISCUSGLADE_VERSIONS_TYPES_CONFIG_DOCUMENT_H_
#define HIBISCUSGLADE_VERSIONS_TYPES_CONFIG_DOCUMENT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/digest.h"
#include "base/settings_reader.h"

namespace hibiscusglade {

/// A service whose upstreams run requests.
struct ServiceConfig {
  std::string name;
  uint32_t max_connections = 0;  ///< To one upstream.
  uint32_t max_queue = 0;        ///< Requests waiting at one upstream.
  Duration ramp{};  ///< How long a started upstream takes to full load.

  friend bool operator==(const ServiceConfig&, const ServiceConfig&) = default;
};

/// A class of requests that share slots.
struct ClassConfig {
  std::string name;
  uint32_t reserved_percent = 0;  ///< Slots no other class may take.
  uint32_t max_percent = 100;     ///< Slots the class may take at most.
  Duration max_wait{};            ///< Longest wait in the owner's queue.
  uint32_t priority = 0;          ///< Higher is shed later.

  friend bool operator==(const ClassConfig&, const ClassConfig&) = default;
};

/// One of several services that share a route's requests.
struct RouteShare {
  std::string service;
  uint32_t weight = 0;  ///< Part of the sum of the route's weights.

  friend bool operator==(const RouteShare&, const RouteShare&) = default;
};

/// Which requests go to which service, and how.
struct RouteConfig {
  std::string name;
  std::string host;  ///< Empty matches any.
  std::string path_prefix;
  std::vector<std::string> methods;  ///< Empty allows all.
  std::string service;               ///< Empty when `shares` is set.
  std::vector<RouteShare> shares;    ///< Empty when `service` is set.
  std::string request_class;
  bool repeatable = false;  ///< Whether a request may run twice.
  /// Whether a request that may not be repeated takes a claim, so that its
  /// callers may send it again through any daemon.
  bool claimed = true;
  bool hedge = false;
  Duration timeout{};
  Duration objective{};  ///< Time in which an answer is worth most.
  uint32_t max_attempts = 1;

  friend bool operator==(const RouteConfig&, const RouteConfig&) = default;
};

/// Limits of the whole mesh.
struct LimitsConfig {
  uint32_t retry_budget_percent = 0;  ///< Retries per hundred requests.
  uint32_t hedge_budget_percent = 0;
  uint32_t max_ejected_percent = 0;  ///< Of a service's upstreams.
  /// Owners asked in turn, beside the budget, when they refuse for want of
  /// room. Their refusals cost no upstream's time.
  uint32_t max_owner_tries = 1;
  uint64_t max_request_body_bytes = 0;
  uint64_t max_request_header_bytes = 0;
  Duration header_timeout{};  ///< For the head of a request to come.
  Duration idle_timeout{};    ///< Of a caller's connection between requests.
  Duration max_hold{};  ///< An entry keeps a refused request this long at most
                        ///< before it tries again.

  friend bool operator==(const LimitsConfig&, const LimitsConfig&) = default;
};

/// Content of one configuration version.
struct ConfigDocument {
  std::map<std::string, ServiceConfig> services;
  std::map<std::string, ClassConfig> classes;
  std::map<std::string, RouteConfig> routes;
  LimitsConfig limits;

  friend bool operator==(const ConfigDocument&,
                         const ConfigDocument&) = default;
};

/// Outcome of reading a document: the document, or every fault in it.
struct ConfigParse {
  std::optional<ConfigDocument> document;
  std::vector<SettingsFault> faults;
};

/// One accepted version. Shared by all who use it; never changed.
struct ConfigVersion {
  uint64_t number = 0;
  uint64_t parent = 0;
  Digest digest = 0;  ///< Of `text`.
  std::string text;   ///< Canonical JSON.
  std::string patch;  ///< RFC 6902 patch from the parent; may be empty.
  ConfigDocument document;

  friend bool operator==(const ConfigVersion&, const ConfigVersion&) = default;
};

using ConfigVersionPtr = std::shared_ptr<const ConfigVersion>;

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_VERSIONS_TYPES_CONFIG_DOCUMENT_H_
