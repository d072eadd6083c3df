#ifndef HIBISCUSGLADE_CALLS_CALL_LINKS_H_
#define HIBISCUSGLADE_CALLS_CALL_LINKS_H_

#include <string>

#include "calls/types/call_types.h"

namespace hibiscusglade {

/// Sends an entry's messages to owners. Send errors are not returned; the
/// link's pings detect a lost owner and report it to the entry.
class OwnerLink {
 public:
  virtual ~OwnerLink() = default;

  /// @param owner request address of the owner, "ip:port".
  virtual void Start(const std::string& owner, CallAttempt attempt) = 0;
  virtual void Credit(const std::string& owner, const AttemptId& attempt,
                      uint64_t bytes) = 0;
  virtual void Cancel(const std::string& owner, const AttemptId& attempt) = 0;

  /// Sends a piece of an offered body, as the owner has granted.
  /// @param offset of the piece in the body.
  virtual void SendBody(const std::string& owner, const AttemptId& attempt,
                        uint64_t offset, std::string data) = 0;
};

/// Identifies the entry that sent an attempt, to address answers to it.
using EntryRef = std::string;

/// Sends an owner's answers to entries.
class EntryLink {
 public:
  virtual ~EntryLink() = default;

  virtual void SendHead(const EntryRef& entry, const AttemptId& attempt,
                        const AnswerHead& head, const LoadReport& load) = 0;
  virtual void SendChunk(const EntryRef& entry, const AttemptId& attempt,
                         uint64_t sequence, std::string data) = 0;
  virtual void SendEnd(const EntryRef& entry, const AttemptId& attempt,
                       const AnswerEnd& end, const LoadReport& load) = 0;
  virtual void SendRefused(const EntryRef& entry, const AttemptId& attempt,
                           const Refusal& refusal, const LoadReport& load) = 0;

  /// Grants an entry to send the bytes of an offered body before `until`.
  virtual void SendGrant(const EntryRef& entry, const AttemptId& attempt,
                         uint64_t until) = 0;
};

/// Identifies one run at the local upstream.
using RunId = uint64_t;

/// How far a run had got when it failed.
enum class RunProgress {
  kNotSent,   ///< No byte of the request reached the upstream.
  kRejected,  ///< The upstream reports that it did not run the request.
  kSent,      ///< The upstream may have run the request.
  kAnswering  ///< Part of the answer was received.
};

/// Why a run failed.
struct RunFailure {
  RunProgress progress = RunProgress::kNotSent;
  bool connection_lost = false;  ///< Refused or closed, not timed out.
  std::string reason;
  /// The run was rejected because another upstream uses the address now.
  bool other_upstream = false;

  friend bool operator==(const RunFailure&, const RunFailure&) = default;
};

/// Notified of the progress of runs, on the owner's thread.
class RunEvents {
 public:
  virtual ~RunEvents() = default;

  virtual void OnRunHead(RunId run, const AnswerHead& head, Instant now) = 0;
  virtual void OnRunData(RunId run, std::string data, Instant now) = 0;
  virtual void OnRunEnd(RunId run, Instant now) = 0;
  virtual void OnRunFailed(RunId run, const RunFailure& failure,
                           Instant now) = 0;

  /// Result of UpstreamClient::Probe().
  /// @param reachable whether the upstream accepted a connection.
  virtual void OnProbed(bool reachable, Instant now) = 0;
};

/// What a client of the upstream holds.
struct UpstreamClientUsage {
  size_t runs = 0;          ///< Requests and probes that have not ended.
  size_t idle_handles = 0;  ///< Kept for later requests.
};

/// Runs requests at the local upstream.
class UpstreamClient {
 public:
  virtual ~UpstreamClient() = default;

  /// Starts a run. The body of its answer is read only up to the attempt's
  /// credit and what AddCredit() adds; the last block that the HTTP library
  /// reads may exceed that.
  /// @param address "ip:port" of the upstream.
  virtual void Start(RunId run, const std::string& address,
                     CallAttempt attempt) = 0;

  /// Adds credit to a run: more bytes of its answer may be read.
  virtual void AddCredit(RunId run, uint64_t bytes) = 0;

  /// Tries to connect, then calls RunEvents::OnProbed().
  virtual void Probe(const std::string& address) = 0;

  /// @param address "ip:port".
  /// @return whether a connection to the address is open with nothing to read,
  /// so that the process at its other end lives. A dead process's connections
  /// may have bytes left to read.
  virtual bool IsConnected(const std::string& address) const { return false; }

  /// Aborts a run; RunEvents is not notified of it any more.
  virtual void Cancel(RunId run) = 0;

  /// @return what it holds; nothing for a client that can't tell.
  virtual UpstreamClientUsage Usage() const { return {}; }
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLS_CALL_LINKS_H_
