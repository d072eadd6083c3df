#include "owner/internal/job.h"

#include <utility>

#include "claims/types/claim_types.h"

namespace hibiscusglade {
namespace {

/// Longest answer of known length that is buffered until complete: one chunk.
constexpr int64_t kMaxBufferedAnswerBytes = int64_t{64} * 1024;
/// Bytes of a kept answer set aside for its head.
constexpr size_t kHeadReserveBytes = size_t{8} * 1024;

}  // namespace

bool Job::HasShortAnswer() const {
  return head.content_length >= 0 &&
         head.content_length <= kMaxBufferedAnswerBytes;
}

bool Job::HasTooMuchToHold() const {
  return attempt.NeedsClaim()
             ? body.size() + kHeadReserveBytes > kMaxKeptAnswerBytes
             : static_cast<int64_t>(body.size()) > kMaxBufferedAnswerBytes;
}

Job MakeJob(const EntryRef& entry, CallAttempt attempt, Instant now) {
  Job job;
  job.entry = entry;
  job.deadline = now + attempt.remaining;
  if (attempt.objective != Duration{}) {
    job.objective = now + attempt.objective;
  }
  job.accepted_at = now;
  job.entry_seen_at = now;
  if (attempt.offered_bytes == 0) {
    job.fingerprint = FingerprintOf(attempt.request);
  }
  job.attempt = std::move(attempt);
  return job;
}

CallAttempt TakeAttemptToRun(Job& job) {
  std::string body = std::exchange(job.attempt.request.body, {});
  job.run_body_bytes = body.size();
  CallAttempt attempt = job.attempt;
  attempt.request.body = std::move(body);
  return attempt;
}

Digest FingerprintOf(const CallRequest& request) {
  Digest digest = DigestOf(request.method);
  digest = DigestOf(request.target, digest);
  digest = DigestOf(request.body, digest);
  return DigestOf(request.idempotency_key, digest);
}

}  // namespace hibiscusglade
