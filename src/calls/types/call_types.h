#ifndef HIBISCUSGLADE_CALLS_TYPES_CALL_TYPES_H_
#define HIBISCUSGLADE_CALLS_TYPES_CALL_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

#include "base/clock.h"
#include "base/digest.h"
#include "base/result_code.h"

namespace hibiscusglade {

struct HeaderField {
  std::string name;
  std::string value;

  friend bool operator==(const HeaderField&, const HeaderField&) = default;
};

/// Identifies a call at its entry; unique in the process.
using CallHandle = uint64_t;

/// A caller's request, received completely.
struct CallRequest {
  std::string request_id;  ///< Given by the caller, else made by its entry.
  /// Name or address of the caller, for fairness between callers in queues.
  std::string caller;
  std::string method;
  std::string host;    ///< Host header field of the caller's request.
  std::string target;  ///< Path and query.
  std::vector<HeaderField> headers;
  std::string body;
  Duration timeout{};  ///< Given by the caller; zero: none given.
  uint32_t depth = 0;  ///< Length of the chain of calls that led to this one.
  /// Service of the upstream beside the entry; set by the entry.
  std::string origin_service;
  std::string idempotency_key;
  /// Key that the caller presented; empty: none, or several. Erased once the
  /// customer is known, and never sent to another process.
  std::string access_key;
  /// Header fields with which it was presented. They are ordinary fields, and
  /// forwarded, only where the configuration requires no keys.
  std::vector<HeaderField> key_fields;
  std::string customer;  ///< Name of the key's customer; set by the entry.

  friend bool operator==(const CallRequest&, const CallRequest&) = default;
};

/// Identifies one attempt; unique in the mesh.
using AttemptId = std::string;

/// One attempt, as an entry sends it to an owner.
struct CallAttempt {
  AttemptId id;
  CallRequest request;
  std::string service;
  std::string route;
  std::string request_class;
  bool repeatable = false;
  bool claimed = true;   ///< Needs a claim if it may not be repeated.
  Duration remaining{};  ///< Time until the deadline, at the time of sending.
  /// Time until the latency objective, at the time of sending; negative once
  /// the objective has passed, zero when there is none.
  Duration objective{};
  /// Initial flow-control window: bytes of the answer's body that may be sent
  /// before the entry grants more credit.
  uint64_t credit_bytes = 0;
  uint64_t version = 0;  ///< Configuration version in use at the entry.
  /// Size of the request's body when the request doesn't contain it, but is
  /// offered: the owner grants the pieces in which it is sent. Zero: the
  /// request is whole.
  uint64_t offered_bytes = 0;
  /// Priority of the customer, in place of that of the request's class.
  std::optional<uint32_t> priority;
  /// Id of the upstream incarnation that the owner sends to; set by the owner.
  std::string upstream_id;

  bool NeedsClaim() const { return !repeatable && claimed; }

  friend bool operator==(const CallAttempt&, const CallAttempt&) = default;
};

/// Status and header fields of an answer.
struct AnswerHead {
  int status = 0;
  std::vector<HeaderField> headers;
  int64_t content_length = -1;  ///< Bytes of the body; -1: unknown.

  friend bool operator==(const AnswerHead&, const AnswerHead&) = default;
};

/// Totals of a complete answer's body; the entry compares them with what it
/// received.
struct AnswerEnd {
  uint64_t chunks = 0;
  uint64_t bytes = 0;
  Digest digest = 0;

  friend bool operator==(const AnswerEnd&, const AnswerEnd&) = default;
};

/// Load of an upstream, counted by its owner and sent along with its answers.
struct LoadReport {
  uint32_t running = 0;
  uint32_t queued = 0;
  uint32_t slots = 0;
  /// Median time that recent requests of the same class spent in the upstream,
  /// without the queue; zero while unknown.
  Duration service_time{};
  bool serving = false;  ///< Whether the upstream accepts requests.
  /// Number of requests that service_time is the median of; zero in a report of
  /// a daemon that does not send it.
  uint32_t service_samples = 0;
  /// Whether the owner takes requests whose bodies are offered; older daemons
  /// don't.
  bool takes_offers = false;
  /// Whether requests of the class are calls that upstreams make for requests
  /// that they run.
  bool begun_work = false;

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/// Why a request was not answered.
struct Refusal {
  std::error_code code;
  Certainty certainty = Certainty::kUnknown;
  std::string detail;
  Duration retry_after{};

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

/// A request that was still open when its daemon stopped.
struct UnfinishedRequest {
  std::string request_id;
  std::string route;
  Duration running{};    ///< Since it was accepted.
  Duration remaining{};  ///< Until its deadline.

  friend bool operator==(const UnfinishedRequest&,
                         const UnfinishedRequest&) = default;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLS_TYPES_CALL_TYPES_H_
