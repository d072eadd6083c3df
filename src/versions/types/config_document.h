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
#include "base/key_digest.h"
#include "base/settings_reader.h"

namespace hibiscusglade {

/// A service whose upstreams run requests.
struct ServiceConfig {
  std::string name;
  uint32_t max_connections = 0;  ///< Limit for one upstream.
  uint32_t max_queue = 0;        ///< Limit on requests queued for one upstream.
  Duration ramp{};               ///< From an upstream's start to its full load.

  friend bool operator==(const ServiceConfig&, const ServiceConfig&) = default;
};

/// A class of requests that share slots.
struct ClassConfig {
  std::string name;
  uint32_t reserved_percent = 0;  ///< Slots that only this class may use.
  uint32_t max_percent = 100;     ///< Slots the class may use at most.
  Duration max_wait{};            ///< Longest wait in the owner's queue.
  uint32_t priority = 0;          ///< Lower values are shed first.

  friend bool operator==(const ClassConfig&, const ClassConfig&) = default;
};

/// One of several services that share a route's requests.
struct RouteShare {
  std::string service;
  uint32_t weight = 0;  ///< Relative to the sum of the route's weights.

  friend bool operator==(const RouteShare&, const RouteShare&) = default;
};

/// Selects requests and defines which service runs them, and how.
struct RouteConfig {
  std::string name;
  std::string host;  ///< Empty matches any host.
  std::string path_prefix;
  std::vector<std::string> methods;  ///< Empty allows all.
  std::string service;               ///< Empty when `shares` is set.
  std::vector<RouteShare> shares;    ///< Empty when `service` is set.
  std::string request_class;
  bool repeatable = false;  ///< Whether a request may run twice.
  /// Whether a request that may not be repeated needs a claim, so that callers
  /// can safely resend it through any daemon.
  bool claimed = true;
  bool hedge = false;
  bool open = false;  ///< Takes requests without a customer's key.
  Duration timeout{};
  Duration objective{};  ///< Latency objective of a call.
  uint32_t max_attempts = 1;

  friend bool operator==(const RouteConfig&, const RouteConfig&) = default;
};

/// A customer, whose requests are recognised by its keys.
struct CustomerConfig {
  std::string name;
  /// Digests of its keys, see base/key_digest.h; the document never holds
  /// a key itself.
  std::vector<KeyDigest> keys;
  /// Takes precedence over the priority of a request's class.
  std::optional<uint32_t> priority;
  uint32_t rate_per_s = 0;  ///< Requests through all daemons; 0: no limit.
  uint32_t burst = 0;       ///< Requests beyond the rate that may come at once.

  friend bool operator==(const CustomerConfig&,
                         const CustomerConfig&) = default;
};

/// Limits of the whole mesh.
struct LimitsConfig {
  uint32_t retry_budget_percent = 0;  ///< Retries per hundred requests.
  uint32_t hedge_budget_percent = 0;
  uint32_t max_ejected_percent = 0;  ///< Of a service's upstreams.
  /// Owners asked one after the other while they refuse for lack of capacity.
  /// Not counted against the retry budget, as such a refusal costs no upstream
  /// time.
  uint32_t max_owner_tries = 1;
  uint64_t max_request_body_bytes = 0;
  uint64_t max_request_header_bytes = 0;
  Duration header_timeout{};  ///< Longest wait for the head of a request.
  Duration idle_timeout{};    ///< For a caller's connection between requests.
  /// Longest pause before an entry sends a refused request to an owner again.
  Duration max_hold{};

  friend bool operator==(const LimitsConfig&, const LimitsConfig&) = default;
};

/// Content of one configuration version.
struct ConfigDocument {
  std::map<std::string, ServiceConfig> services;
  std::map<std::string, ClassConfig> classes;
  std::map<std::string, RouteConfig> routes;
  std::map<std::string, CustomerConfig> customers;
  /// Whether requests on routes that are not open need a customer's key.
  bool keys_required = false;
  LimitsConfig limits;

  friend bool operator==(const ConfigDocument&,
                         const ConfigDocument&) = default;
};

/// Result of parsing a document: the document, or every fault in it.
struct ConfigParseResult {
  std::optional<ConfigDocument> document;
  std::vector<SettingsFault> faults;
};

/// One accepted version. Immutable, so that its users can share it.
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
