#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

#include "versions/internal/config_elements.h"

namespace hibiscusglade {
namespace {

constexpr int64_t kMaxPriority = 9;
constexpr int64_t kMaxRequests = 1'000'000'000;
constexpr size_t kMaxNameBytes = 200;

/// A customer's name is the value of a header field that upstreams receive.
bool IsFieldValue(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameBytes && name.front() != ' ' &&
         name.back() != ' ' && std::ranges::none_of(name, [](char c) {
           constexpr char kDelete = 127;
           return (c >= 0 && c < ' ') || c == kDelete;
         });
}

std::string PointerOf(const std::string& customer, size_t key) {
  return (nlohmann::json::json_pointer("/customers") / customer / "keys" / key)
      .to_string();
}

/// One place at which a key stands.
struct KeyPlace {
  KeyDigest digest;
  const CustomerConfig* customer = nullptr;
  size_t index = 0;
};

}  // namespace

CustomerConfig ReadCustomer(const std::string& name, SettingsReader& reader) {
  CustomerConfig customer;
  customer.name = name;
  if (!IsFieldValue(name)) {
    reader.Fault("", "expected a name of 1 to " +
                         std::to_string(kMaxNameBytes) +
                         " bytes without control characters, and without a "
                         "space at its ends");
  }
  const std::vector<std::string> keys = reader.Texts(
      "keys", {.default_value = "",
               .text = "The first 16 bytes of the SHA-256 of each key, in 32 "
                       "lower-case hexadecimal digits.",
               .secret = true});
  for (size_t i = 0; i < keys.size(); ++i) {
    if (const auto digest = KeyDigest::FromHex(keys[i])) {
      customer.keys.push_back(*digest);
    } else {
      reader.Fault("keys", "number " + std::to_string(i) +
                               " is no digest: expected 32 lower-case "
                               "hexadecimal digits");
    }
  }
  // Their places would no longer be those in the document.
  if (customer.keys.size() < keys.size()) customer.keys.clear();
  if (reader.Has("priority")) {
    customer.priority = static_cast<uint32_t>(reader.Number(
        "priority",
        {0, kMaxPriority, 5, "",
         "In place of the priority of a request's class; lower values are shed "
         "first. Absent: that of the class."}));
  }
  customer.rate_per_s = static_cast<uint32_t>(reader.Number(
      "rate_per_s",
      {0, kMaxRequests, 0, "requests/s", "Limit over all daemons; 0: none."}));
  customer.burst = static_cast<uint32_t>(reader.Number(
      "burst", {0, kMaxRequests, 0, "requests",
                "Requests beyond the rate that may come at once."}));
  return customer;
}

void CheckKeys(const std::map<std::string, CustomerConfig>& customers,
               SettingsReader& reader) {
  std::vector<KeyPlace> places;
  for (const auto& [name, customer] : customers) {
    for (size_t i = 0; i < customer.keys.size(); ++i) {
      places.push_back({customer.keys[i], &customer, i});
    }
  }
  // Stable, so that the later place in the document is the fault.
  std::ranges::stable_sort(places, {}, &KeyPlace::digest);
  for (size_t i = 1; i < places.size(); ++i) {
    const KeyPlace& first = places[i - 1];
    const KeyPlace& second = places[i];
    if (first.digest != second.digest) continue;
    reader.FaultAt(
        PointerOf(second.customer->name, second.index),
        first.customer == second.customer
            ? "the key stands there twice"
            : "customer \"" + first.customer->name + "\" holds the same key");
  }
}

}  // namespace hibiscusglade
