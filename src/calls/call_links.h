#ifndef HIBISCUSGLADE_CALLS_CALL_LINKS_H_
#define HIBISCUSGLADE_CALLS_CALL_LINKS_H_

#include <string>

#include "calls/types/call_types.h"

namespace hibiscusglade {

/// An entry's way to owners. Sending may fail silently; the link's own
/// heartbeats then report the owner as lost.
class OwnerLink {
 public:
  virtual ~OwnerLink() = default;

  /// @param owner request address of the owner, "ip:port".
  virtual void Start(const std::string& owner, const CallAttempt& attempt) = 0;
  virtual void Credit(const std::string& owner, const AttemptId& attempt,
                      uint64_t bytes) = 0;
  virtual void Cancel(const std::string& owner, const AttemptId& attempt) = 0;
};

/// Names the entry that an attempt came from, for the way back.
using EntryRef = std::string;

/// An owner's way back to entries.
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
};

/// Number of one run at the local upstream.
using RunId = uint64_t;

/// How far a run came before it failed.
enum class RunProgress {
  kNotSent,   ///< No byte of the request reached the upstream.
  kRejected,  ///< The upstream states that it did not run it.
  kSent,      ///< The upstream may have run it.
  kAnswering  ///< Part of the answer had arrived.
};

/// How a run failed.
struct RunFailure {
  RunProgress progress = RunProgress::kNotSent;
  bool connection_lost = false;  ///< Closed or refused, not timed out.
  std::string reason;
  bool other_upstream = false;  ///< Rejected: another one has the address.

  friend bool operator==(const RunFailure&, const RunFailure&) = default;
};

/// What became of runs; called on the owner's thread.
class RunEvents {
 public:
  virtual ~RunEvents() = default;

  virtual void OnRunHead(RunId run, const AnswerHead& head, Instant now) = 0;
  virtual void OnRunData(RunId run, std::string data, Instant now) = 0;
  virtual void OnRunEnd(RunId run, Instant now) = 0;
  virtual void OnRunFailed(RunId run, const RunFailure& failure,
                           Instant now) = 0;

  /// Tells whether the upstream took a connection, after Probe().
  virtual void OnProbed(bool reachable, Instant now) = 0;
};

/// Runs requests at the local upstream.
class UpstreamClient {
 public:
  virtual ~UpstreamClient() = default;

  /// Starts a run. Of its answer no more is read than the attempt's credit
  /// and what Allow() adds, but for one block of the HTTP library.
  /// @param address "ip:port" of the upstream.
  virtual void Start(RunId run, const std::string& address,
                     const CallAttempt& attempt) = 0;

  /// Lets more bytes of a run's answer be read.
  virtual void Allow(RunId run, uint64_t bytes) = 0;

  /// Tries to connect; RunEvents::OnProbed follows.
  virtual void Probe(const std::string& address) = 0;

  /// Breaks the run off; no event follows for it.
  virtual void Cancel(RunId run) = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLS_CALL_LINKS_H_
