#include "owner/internal/answer_sender.h"

#include <utility>

#include "claims/claim_codec.h"
#include "claims/claims_result_codes.h"

namespace hibiscusglade {

AnswerSender::AnswerSender(EntryLink& entries, Metrics& metrics,
                           const Clock& clock, double link_mbps,
                           std::vector<const Counter*> link_traffic,
                           LoadSource load)
    : entries_(entries),
      metrics_(metrics),
      clock_(clock),
      budget_(link_mbps),
      link_traffic_(std::move(link_traffic)),
      load_(std::move(load)) {}

std::optional<Duration> AnswerSender::WaitForRoom(const Job& job, Instant now) {
  if (!CrossesLimitedLink(job)) return std::nullopt;
  const std::string& request_class = job.attempt.request_class;
  auto wait =
      budget_.WaitForRoom({request_class, load_(request_class).service_time,
                           job.deadline, job.objective},
                          now);
  if (wait.has_value()) metrics_.CounterOf("link_refusals_total", "").Add();
  return wait;
}

void AnswerSender::OnAccepted(const Job& job) {
  if (!CrossesLimitedLink(job)) return;
  budget_.Reserve(job.attempt.id, job.attempt.request_class);
  PublishBacklog();
}

void AnswerSender::OnRemoved(const Job& job) {
  const QueuedAnswer* answer = QueueOf(job);
  if (answer == nullptr) {
    budget_.Release(job.attempt.id);
  } else if (!answer->end.has_value()) {
    Drop(job.attempt.id);
  }
}

void AnswerSender::SendHead(Job& job) {
  job.streaming = true;
  const AttemptId& id = job.attempt.id;
  if (job.head.content_length >= 0) {
    budget_.SetRemaining(id, static_cast<uint64_t>(job.head.content_length));
  }
  if (!CrossesLimitedLink(job) || budget_.IsShort(id)) {
    entries_.SendHead(job.entry, id, job.head,
                      load_(job.attempt.request_class));
    return;
  }
  QueuedAnswer& answer = queue_.Add(id);
  answer.entry = job.entry;
  answer.request_class = job.attempt.request_class;
  answer.objective = job.objective;
  answer.deadline = job.deadline;
  answer.head = job.head;
}

void AnswerSender::SendData(Job& job, const std::string& data) {
  QueuedAnswer* answer = QueueOf(job);
  const size_t piece_bytes = budget_.PieceBytes();
  const Instant now = clock_.Now();
  for (size_t at = 0; at < data.size(); at += piece_bytes) {
    std::string piece = data.substr(at, piece_bytes);
    job.digest = DigestOf(piece, job.digest);
    job.bytes += piece.size();
    const uint64_t sequence = job.chunks++;
    if (answer != nullptr) {
      answer->queued_bytes += piece.size();
      answer->pieces.push_back(std::move(piece));
      continue;
    }
    if (CrossesLimitedLink(job)) {
      budget_.OnSent(job.attempt.id, piece.size(), now);
    }
    entries_.SendChunk(job.entry, job.attempt.id, sequence, std::move(piece));
  }
  if (answer == nullptr) return;
  budget_.OnQueued(job.attempt.id, answer->queued_bytes);
  SendQueued(now);
}

void AnswerSender::SendEnd(const Job& job) {
  const std::string& request_class = job.attempt.request_class;
  budget_.OnAnswerSize(request_class, job.bytes);
  const AnswerEnd end{job.chunks, job.bytes, job.digest};
  QueuedAnswer* answer = QueueOf(job);
  if (answer == nullptr) {
    entries_.SendEnd(job.entry, job.attempt.id, end, load_(request_class));
    return;
  }
  answer->end = end;
  answer->ended_at = clock_.Now();
  SendQueued(answer->ended_at);
}

void AnswerSender::SendKeptAnswer(Job& job, const std::string& encoded) {
  auto answer = DecodeKeptAnswer(encoded);
  if (!answer.has_value()) {
    SendRefusal(job, ClaimsCode::kOutcomeUnknown, Certainty::kUnknown);
    return;
  }
  job.head = answer->head;
  budget_.SetRemaining(job.attempt.id, answer->body.size());
  SendHead(job);
  SendData(job, answer->body);
  SendEnd(job);
}

void AnswerSender::SendRefusal(const Job& job, const std::error_code& code,
                               Certainty certainty, const std::string& detail,
                               Duration retry_after) {
  metrics_
      .CounterOf("owner_refusals_total",
                 "code=\"" + std::to_string(code.value()) + "\"")
      .Add();
  Drop(job.attempt.id);
  entries_.SendRefused(
      job.entry, job.attempt.id,
      {code, certainty, detail.empty() ? code.message() : detail, retry_after},
      load_(job.attempt.request_class));
}

void AnswerSender::SendQueued(Instant now) {
  uint64_t total_bytes = 0;
  for (const Counter* sent : link_traffic_) total_bytes += sent->Value();
  if (total_bytes > 0) budget_.OnTraffic(total_bytes, now);
  while (!queue_.Empty() && budget_.MaySend(now)) {
    auto next = queue_.Next(now);
    if (next == queue_.End()) break;
    const AttemptId attempt = next->first;
    SendNext(attempt, next->second, now);
  }
  PublishBacklog();
}

void AnswerSender::Drop(const AttemptId& attempt) {
  if (const QueuedAnswer* answer = queue_.Find(attempt)) {
    metrics_.CounterOf("link_dropped_bytes_total", "")
        .Add(answer->queued_bytes);
    queue_.Remove(attempt);
  }
  budget_.Release(attempt);
}

void AnswerSender::SendNext(const AttemptId& attempt, QueuedAnswer& answer,
                            Instant now) {
  if (answer.head.has_value()) {
    entries_.SendHead(answer.entry, attempt, *answer.head,
                      load_(answer.request_class));
    answer.head.reset();
  }
  if (!answer.pieces.empty()) {
    std::string piece = std::move(answer.pieces.front());
    answer.pieces.pop_front();
    answer.queued_bytes -= piece.size();
    budget_.OnSent(attempt, piece.size(), now);
    entries_.SendChunk(answer.entry, attempt, answer.next_sequence++,
                       std::move(piece));
  }
  if (!answer.pieces.empty() || !answer.end.has_value()) return;
  entries_.SendEnd(answer.entry, attempt, *answer.end,
                   load_(answer.request_class));
  metrics_.HistogramOf("link_wait_seconds", "").Record(now - answer.ended_at);
  queue_.Remove(attempt);
  budget_.Release(attempt);
}

void AnswerSender::PublishBacklog() {
  const uint64_t backlog = budget_.BacklogBytes();
  if (std::exchange(published_backlog_, backlog) == backlog) return;
  metrics_.SetGauge("link_backlog_bytes", "", static_cast<double>(backlog));
}

}  // namespace hibiscusglade
