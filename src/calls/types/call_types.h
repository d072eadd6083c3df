#ifndef HIBISCUSGLADE_CALLS_TYPES_CALL_TYPES_H_
#define HIBISCUSGLADE_CALLS_TYPES_CALL_TYPES_H_

#include <cstdint>
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

/// Number of a caller's request at its entry, unique in the process.
using CallHandle = uint64_t;

/// A caller's request as it came in, its body whole.
struct CallRequest {
  std::string request_id;  ///< From the caller, or made by the entry.
  std::string caller;      ///< Whom to be fair to: a name or an address.
  std::string method;
  std::string host;    ///< As the caller named it.
  std::string target;  ///< Path and query.
  std::vector<HeaderField> headers;
  std::string body;
  Duration timeout{};  ///< What the caller allows; zero when it does not say.
  uint32_t depth = 0;  ///< Calls above this one.
  /// Service of the instance where the request began; set by its entry.
  std::string origin_service;
  std::string idempotency_key;

  friend bool operator==(const CallRequest&, const CallRequest&) = default;
};

/// Name of one attempt to run a request, unique in the mesh.
using AttemptId = std::string;

/// One attempt, as an entry sends it to an owner.
struct CallAttempt {
  AttemptId id;
  CallRequest request;
  std::string service;
  std::string route;
  std::string request_class;
  bool repeatable = false;
  bool claimed = true;   ///< Takes a claim where it may not be repeated.
  Duration remaining{};  ///< Until the deadline, at the time of sending.
  Duration objective{};  ///< Until an answer is worth less; may be negative.
  uint64_t credit_bytes = 0;  ///< Answer bytes the owner may send unasked.
  uint64_t version = 0;       ///< Configuration version of the entry.
  std::string upstream_id;    ///< Set by the owner: whom it means to reach.

  bool NeedsClaim() const { return !repeatable && claimed; }

  friend bool operator==(const CallAttempt&, const CallAttempt&) = default;
};

/// Start of an answer.
struct AnswerHead {
  int status = 0;
  std::vector<HeaderField> headers;
  int64_t content_length = -1;  ///< -1 when not known.

  friend bool operator==(const AnswerHead&, const AnswerHead&) = default;
};

/// End of a whole answer, to compare with what arrived.
struct AnswerEnd {
  uint64_t chunks = 0;
  uint64_t bytes = 0;
  Digest digest = 0;

  friend bool operator==(const AnswerEnd&, const AnswerEnd&) = default;
};

/// What an owner knows exactly of its upstream; rides on every answer.
struct LoadReport {
  uint32_t running = 0;
  uint32_t queued = 0;
  uint32_t slots = 0;
  Duration service_time{};  ///< Smoothed time in the upstream, without queue.
  bool serving = false;

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

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLS_TYPES_CALL_TYPES_H_
