#include "routing/routing_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr ResultCodeInfo kCodes[] = {
    {4001, "no-route", "no route matches method and path", 404,
     Certainty::kNotRun, "Check the routes of the version in use."},
    {4002, "no-upstream", "the service has no upstream here", 503,
     Certainty::kNotRun, "List the upstreams with hibiscusgladectl upstreams."},
    {4003, "no-version", "the daemon has no version it may use yet", 503,
     Certainty::kNotRun,
     "Check hibiscusgladectl status for what the daemon waits for."},
    {4004, "attempts-spent", "every attempt allowed was refused", 503,
     Certainty::kNotRun,
     "Check why the daemons beside the upstreams refuse the request."},
    {4005, "deadline-passed", "the deadline passed before an answer", 504,
     Certainty::kUnknown, "Look for slow upstreams."},
    {4006, "owner-lost", "the daemon beside the upstream fell silent", 504,
     Certainty::kUnknown, "Check that instance and the links to it."},
    {4007, "answer-broken", "the answer ended before it was whole", 502,
     Certainty::kUnknown, "Check the upstream that sent an incomplete answer."},
    {4008, "caller-gone", "the caller went away", 499, Certainty::kUnknown,
     "Nothing."},
    {4009, "stopping", "the daemon is stopping", 503, Certainty::kNotRun,
     "Send the request to another daemon."},
    {4010, "owner-unreachable",
     "no connection to the daemon beside the upstream came about", 503,
     Certainty::kNotRun, "Check that instance and the links to it."},
    {4011, "stops-too-soon", "the daemon stops before the request's deadline",
     503, Certainty::kNotRun, "Send the request to another daemon."},
    {4012, "cut-by-stop", "the daemon stopped before an answer", 504,
     Certainty::kUnknown,
     "Let the process live for the longest timeout of a route after the "
     "signal: kill_after_s, and what kills it."},
    {4013, "key-missing", "the request has no key, or more than one", 401,
     Certainty::kNotRun,
     "The caller has to send one Authorization field with a customer's key."},
    {4014, "key-unknown", "no customer holds the request's key", 401,
     Certainty::kNotRun,
     "Compare the version in the entry's line with the one that added or "
     "revoked the key."},
    {4015, "over-limit", "the customer has reached its limit", 429,
     Certainty::kNotRun,
     "Ask hibiscusgladectl limits for the customer's use and its limit."},
};

}  // namespace

const ResultCodeCategory& RoutingCategory() {
  static const ResultCodeCategory category("routing", kCodes);
  return category;
}

std::error_code make_error_code(RoutingCode code) {
  return {static_cast<int>(code), RoutingCategory()};
}

}  // namespace hibiscusglade
