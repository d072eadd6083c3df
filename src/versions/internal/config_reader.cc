#include "versions/config_reader.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/strict_json.h"
#include "versions/internal/config_elements.h"

namespace hibiscusglade {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int64_t kMaxConnections = 100'000;
constexpr int64_t kMaxQueue = 10000;
constexpr int64_t kMaxMillis = 600'000;
constexpr int64_t kMaxBodyBytes = 64 << 20;
constexpr int64_t kDefaultBodyBytes = 1 << 20;
constexpr int64_t kMaxHeaderBytes = 64 << 10;
constexpr int64_t kDefaultHeaderBytes = 16 << 10;
constexpr int64_t kMaxWeight = 1'000'000;
/// An objective may exceed the timeout, but by less than a minute.
constexpr Duration kMaxObjectiveExcess = milliseconds(60'000);
constexpr size_t kMaxPatchedBytes = 1U << 20U;

}  // namespace

ServiceConfig ReadService(const std::string& name, SettingsReader& reader) {
  ServiceConfig service;
  service.name = name;
  service.max_connections = static_cast<uint32_t>(reader.Number(
      "max_connections", {1, kMaxConnections, 100, "connections",
                          "Maximum connections to one upstream."}));
  service.max_queue = static_cast<uint32_t>(reader.Number(
      "max_queue", {0, kMaxQueue, 64, "requests",
                    "Maximum requests queued for one upstream."}));
  service.ramp = milliseconds(reader.Number(
      "ramp_ms", {0, kMaxMillis, 5000, "ms",
                  "Time from an upstream's start to its full load."}));
  return service;
}

ClassConfig ReadClass(const std::string& name, SettingsReader& reader) {
  ClassConfig config;
  config.name = name;
  config.reserved_percent = static_cast<uint32_t>(
      reader.Number("reserved_percent",
                    {0, 100, 0, "%", "Slots that only this class may use."}));
  config.max_percent = static_cast<uint32_t>(reader.Number(
      "max_percent", {1, 100, 100, "%", "Slots the class may use at most."}));
  config.max_wait = milliseconds(reader.Number(
      "max_wait_ms", {0, kMaxMillis, 1000, "ms", "Longest wait for a slot."}));
  config.priority = static_cast<uint32_t>(
      reader.Number("priority", {0, 9, 5, "", "Lower values are shed first."}));
  if (config.reserved_percent > config.max_percent) {
    reader.Fault("reserved_percent", "is above max_percent");
  }
  return config;
}

namespace {

void ReadShares(SettingsReader& reader, RouteConfig& route) {
  reader.Array(
      "shares", "Services that share the requests by weight.",
      [&route](SettingsReader& item) {
        RouteShare share;
        share.service =
            item.Text("service", {"", "Service that runs this share.", true});
        share.weight = static_cast<uint32_t>(item.Number(
            "weight", {0, kMaxWeight, 0, "", "Weight of this share.", true}));
        route.shares.push_back(std::move(share));
      });
  route.service = reader.Text(
      "service", {"", "Service that runs the requests.", route.shares.empty()});
  if (route.shares.empty()) return;
  if (!route.service.empty()) {
    reader.Fault("service", "stands beside shares; give one of them");
  }
  uint64_t sum = 0;
  for (const RouteShare& share : route.shares) sum += share.weight;
  if (sum == 0) reader.Fault("shares", "the weights add up to 0");
}

}  // namespace

RouteConfig ReadRoute(const std::string& name, SettingsReader& reader) {
  RouteConfig route;
  route.name = name;
  route.path_prefix = reader.Text(
      "path_prefix", {"", "Prefix of the request paths to match.", true});
  if (!route.path_prefix.empty() && route.path_prefix[0] != '/') {
    reader.Fault("path_prefix", "expected a path that starts with /");
  }
  route.methods = reader.Texts(
      "methods", {"",
                  "Methods to match; empty matches all.",
                  false,
                  {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}});
  route.host = reader.Text("host", {"", "Host to match; empty matches any."});
  ReadShares(reader, route);
  route.request_class =
      reader.Text("class", {"", "Class of the requests.", true});
  route.repeatable = reader.Flag("repeatable", false,
                                 "Whether a request may run more than once.");
  route.open =
      reader.Flag("open", false, "Whether requests need no key of a customer.");
  route.hedge = reader.Flag(
      "hedge", false, "Whether a slow call is hedged with a second attempt.");
  route.timeout = milliseconds(reader.Number(
      "timeout_ms", {1, kMaxMillis, 10'000, "ms", "Time limit of a call."}));
  route.max_attempts = static_cast<uint32_t>(reader.Number(
      "max_attempts", {1, 10, 3, "attempts", "Maximum attempts of a call."}));
  route.objective = milliseconds(reader.Number(
      "objective_ms", {1, kMaxMillis + 60'000, route.timeout.count() / 1000,
                       "ms", "Latency objective of a call."}));
  if (route.objective >= route.timeout + kMaxObjectiveExcess) {
    reader.Fault("objective_ms", "is a minute or more above timeout_ms");
  }
  route.claimed =
      reader.Flag("claimed", true,
                  "Whether requests that may not be repeated need a claim.");
  if (route.hedge && !route.repeatable) {
    reader.Fault("hedge", "only a repeatable route may hedge");
  }
  return route;
}

LimitsConfig ReadLimits(SettingsReader& reader) {
  LimitsConfig limits;
  limits.retry_budget_percent = static_cast<uint32_t>(
      reader.Number("retry_budget_percent",
                    {0, 100, 10, "%", "Retries as a share of the requests."}));
  limits.hedge_budget_percent = static_cast<uint32_t>(
      reader.Number("hedge_budget_percent",
                    {0, 100, 5, "%", "Hedges as a share of the requests."}));
  limits.max_ejected_percent = static_cast<uint32_t>(reader.Number(
      "max_ejected_percent",
      {0, 100, 30, "%", "Upstreams of a service ejected at the same time."}));
  limits.max_owner_tries = static_cast<uint32_t>(reader.Number(
      "max_owner_tries", {1, 10, 1, "daemons",
                          "Owners asked one after the other while they refuse "
                          "for lack of capacity, outside the retry budget."}));
  limits.max_request_body_bytes = static_cast<uint64_t>(reader.Number(
      "max_request_body_bytes", {0, kMaxBodyBytes, kDefaultBodyBytes, "bytes",
                                 "Largest accepted body."}));
  limits.max_request_header_bytes = static_cast<uint64_t>(
      reader.Number("max_request_header_bytes",
                    {512, kMaxHeaderBytes, kDefaultHeaderBytes, "bytes",
                     "Largest accepted head of a request."}));
  limits.header_timeout = milliseconds(reader.Number(
      "header_timeout_ms", {1, kMaxMillis, 60'000, "ms",
                            "Longest wait for the head of a request."}));
  limits.idle_timeout = milliseconds(reader.Number(
      "idle_timeout_ms",
      {1, kMaxMillis, 60'000, "ms",
       "Idle time after which a caller's connection is closed."}));
  limits.max_hold = milliseconds(reader.Number(
      "max_hold_ms", {0, kMaxMillis, kMaxMillis, "ms",
                      "Longest pause before an entry sends a refused "
                      "request to an owner again."}));
  return limits;
}

void CheckReferences(const ConfigDocument& document, SettingsReader& reader) {
  for (const auto& [name, route] : document.routes) {
    if (!route.service.empty() && !document.services.contains(route.service)) {
      reader.FaultAt("/routes/" + name + "/service",
                     "service \"" + route.service + "\" does not exist");
    }
    for (const RouteShare& share : route.shares) {
      if (share.service.empty() || document.services.contains(share.service)) {
        continue;
      }
      reader.FaultAt("/routes/" + name + "/shares",
                     "service \"" + share.service + "\" does not exist");
    }
    if (!route.request_class.empty() &&
        !document.classes.contains(route.request_class)) {
      reader.FaultAt("/routes/" + name + "/class",
                     "class \"" + route.request_class + "\" does not exist");
    }
  }
  uint32_t reserved = 0;
  for (const auto& [name, config] : document.classes) {
    reserved += config.reserved_percent;
  }
  if (reserved > 100) {
    reader.FaultAt("/classes", "reserved_percent adds up to " +
                                   std::to_string(reserved) + " of 100");
  }
}

namespace {

bool IsCopy(const json& operation) {
  return operation.is_object() && operation.value("op", "") == "copy";
}

/// @return whether a value has more than `levels` levels of nesting.
bool NestedBeyond(const json& value, int levels) {
  if (!value.is_structured()) return false;
  if (levels == 0) return true;
  return std::any_of(value.begin(), value.end(), [levels](const json& element) {
    return NestedBeyond(element, levels - 1);
  });
}

/// Applies the operations of a patch; fails when a copy makes the document
/// longer than kMaxPatchedBytes or nested deeper than kMaxJsonDepth. Only
/// copies can make a document much longer or deeper than the patch, so the
/// operations between copies are applied in one batch.
std::optional<json> ApplyBounded(json document, const json& operations,
                                 std::vector<SettingsFault>& faults) {
  json batch = json::array();
  for (size_t i = 0; i < operations.size(); ++i) {
    batch.push_back(operations[i]);
    const bool last = i + 1 == operations.size();
    if (!last && !IsCopy(operations[i])) continue;
    document = document.patch(std::exchange(batch, json::array()));
    if (!IsCopy(operations[i])) continue;
    if (NestedBeyond(document, kMaxJsonDepth)) {
      faults.push_back({"/" + std::to_string(i),
                        "the copy nests the document deeper than " +
                            std::to_string(kMaxJsonDepth) + " levels"});
      return std::nullopt;
    }
    if (document.dump().size() <= kMaxPatchedBytes) continue;
    faults.push_back({"/" + std::to_string(i),
                      "the copy makes the document longer than " +
                          std::to_string(kMaxPatchedBytes) + " bytes"});
    return std::nullopt;
  }
  return document;
}

}  // namespace

ConfigDocument ReadConfigDocument(SettingsReader& reader) {
  ConfigDocument document;
  reader.Map("services", "Services by name.",
             [&](const std::string& name, SettingsReader& item) {
               document.services[name] = ReadService(name, item);
             });
  reader.Map("classes", "Classes of requests by name.",
             [&](const std::string& name, SettingsReader& item) {
               document.classes[name] = ReadClass(name, item);
             });
  reader.Map("routes", "Routes by name.",
             [&](const std::string& name, SettingsReader& item) {
               document.routes[name] = ReadRoute(name, item);
             });
  reader.Map("customers", "Customers by name.",
             [&](const std::string& name, SettingsReader& item) {
               document.customers[name] = ReadCustomer(name, item);
             });
  // The presence of the field counts: were it the number of customers, the
  // removal of the last one would let in everybody.
  document.keys_required =
      reader.Flag("keys_required", reader.Has("customers"),
                  "Whether routes that are not open need a customer's key. "
                  "Default: whether there is a field customers.");
  SettingsReader limits = reader.Object("limits", "Limits of the mesh.");
  document.limits = ReadLimits(limits);
  CheckReferences(document, reader);
  CheckKeys(document.customers, reader);
  return document;
}

namespace {

ConfigVersionPtr BuildVersion(ConfigParseResult parse, uint64_t number,
                              uint64_t parent, std::string text,
                              std::string patch,
                              std::vector<SettingsFault>& faults) {
  if (!parse.document.has_value()) {
    faults.insert(faults.end(), parse.faults.begin(), parse.faults.end());
    return nullptr;
  }
  const Digest digest = DigestOf(text);
  return std::make_shared<const ConfigVersion>(
      ConfigVersion{number, parent, digest, std::move(text), std::move(patch),
                    std::move(*parse.document)});
}

ConfigParseResult ReadAndCheck(SettingsReader reader) {
  ConfigDocument document = ReadConfigDocument(reader);
  reader.Finish();
  if (!reader.Faults().empty()) return {std::nullopt, reader.Faults()};
  return {std::move(document), {}};
}

}  // namespace

ConfigParseResult ParseConfigDocument(std::string_view text) {
  return ReadAndCheck(SettingsReader(text));
}

std::optional<std::string> ApplyPatch(std::string_view text,
                                      std::string_view patch,
                                      std::vector<SettingsFault>& faults) {
  const json operations = json::parse(patch, nullptr, false);
  if (operations.is_discarded() || !operations.is_array()) {
    faults.push_back({"", "expected a JSON array of patch operations"});
    return std::nullopt;
  }
  try {
    auto document = ApplyBounded(json::parse(text), operations, faults);
    if (!document.has_value()) return std::nullopt;
    return document->dump();
  } catch (const json::exception& error) {
    faults.push_back(
        {"", std::string("the patch does not apply: ") + error.what()});
    return std::nullopt;
  }
}

ConfigVersionPtr MakeConfigVersion(uint64_t number, uint64_t parent,
                                   std::string text, std::string patch,
                                   std::vector<SettingsFault>& faults) {
  ConfigParseResult parse = ParseConfigDocument(text);
  return BuildVersion(std::move(parse), number, parent, std::move(text),
                      std::move(patch), faults);
}

ConfigVersionPtr MakeConfigVersion(uint64_t number, uint64_t parent,
                                   std::string text, const json& value,
                                   std::string patch,
                                   std::vector<SettingsFault>& faults) {
  return BuildVersion(ReadAndCheck(SettingsReader::FromValue(value)), number,
                      parent, std::move(text), std::move(patch), faults);
}

ConfigVersionPtr EmptyConfigVersion() {
  static const ConfigVersionPtr empty = [] {
    std::vector<SettingsFault> faults;
    return MakeConfigVersion(
        0, 0, R"({"classes":{},"limits":{},"routes":{},"services":{}})", "[]",
        faults);
  }();
  return empty;
}

}  // namespace hibiscusglade
