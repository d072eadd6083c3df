#include "owner/internal/answer_sender.h"

#include <utility>

#include "claims/claim_codec.h"
#include "claims/claims_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr size_t kMaxChunkBytes = size_t{64} * 1024;

}  // namespace

AnswerSender::AnswerSender(EntryLink& entries, Metrics& metrics,
                           LoadSource load)
    : entries_(entries), metrics_(metrics), load_(std::move(load)) {}

void AnswerSender::SendHead(Job& job) {
  job.streaming = true;
  entries_.SendHead(job.entry, job.attempt.id, job.head,
                    load_(job.attempt.request_class));
}

void AnswerSender::SendData(Job& job, const std::string& data) {
  for (size_t at = 0; at < data.size(); at += kMaxChunkBytes) {
    std::string chunk = data.substr(at, kMaxChunkBytes);
    job.digest = DigestOf(chunk, job.digest);
    job.bytes += chunk.size();
    entries_.SendChunk(job.entry, job.attempt.id, job.chunks++,
                       std::move(chunk));
  }
}

void AnswerSender::SendEnd(const Job& job) {
  entries_.SendEnd(job.entry, job.attempt.id,
                   {job.chunks, job.bytes, job.digest},
                   load_(job.attempt.request_class));
}

void AnswerSender::SendKeptAnswer(Job& job, const std::string& encoded) {
  auto answer = DecodeKeptAnswer(encoded);
  if (!answer.has_value()) {
    SendRefusal(job, ClaimsCode::kOutcomeUnknown, Certainty::kUnknown);
    return;
  }
  job.head = answer->head;
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
  entries_.SendRefused(
      job.entry, job.attempt.id,
      {code, certainty, detail.empty() ? code.message() : detail, retry_after},
      load_(job.attempt.request_class));
}

}  // namespace hibiscusglade
