#include "requests/internal/call_codec.h"

#include <algorithm>

#include "admission/admission_result_codes.h"
#include "calls/header_codec.h"
#include "claims/claims_result_codes.h"
#include "peer/peer_result_codes.h"
#include "routing/routing_result_codes.h"

namespace hibiscusglade {
void ToWire(const CallAttempt& attempt, wire::CallStart& out) {
  const CallRequest& request = attempt.request;
  out.set_attempt(attempt.id);
  out.set_request_id(request.request_id);
  if (attempt.offered_bytes > 0) {
    out.set_offered_service(attempt.service);
    out.set_offered_bytes(attempt.offered_bytes);
  } else {
    out.set_service(attempt.service);
  }
  out.set_route(attempt.route);
  out.set_request_class(attempt.request_class);
  out.set_method(request.method);
  out.set_target(request.target);
  FillHeaders(request.headers, out);
  out.set_body(request.body);
  out.set_remaining_micros(static_cast<uint64_t>(attempt.remaining.count()));
  out.set_repeatable(attempt.repeatable);
  out.set_idempotency_key(request.idempotency_key);
  out.set_depth(request.depth);
  out.set_credit_bytes(attempt.credit_bytes);
  out.set_version(attempt.version);
  out.set_caller(request.caller);
  out.set_host(request.host);
  out.set_origin_service(request.origin_service);
  out.set_customer(request.customer);
  out.set_customer_priority(attempt.priority ? *attempt.priority + 1 : 0);
  out.set_unclaimed(!attempt.claimed);
  // In the message, 0 means no objective: one that has passed is sent as 1 us.
  out.set_objective_micros(
      static_cast<uint64_t>(std::max<int64_t>(1, attempt.objective.count())));
}

CallAttempt FromWire(const wire::CallStart& in) {
  CallAttempt attempt;
  attempt.id = in.attempt();
  attempt.request.request_id = in.request_id();
  attempt.request.caller = in.caller();
  attempt.request.method = in.method();
  attempt.request.target = in.target();
  attempt.request.headers = HeadersOf(in);
  attempt.request.body = in.body();
  attempt.request.depth = in.depth();
  attempt.request.idempotency_key = in.idempotency_key();
  attempt.request.host = in.host();
  attempt.request.origin_service = in.origin_service();
  attempt.request.customer = in.customer();
  if (in.customer_priority() > 0) attempt.priority = in.customer_priority() - 1;
  attempt.claimed = !in.unclaimed();
  attempt.objective = Duration(static_cast<int64_t>(in.objective_micros()));
  attempt.offered_bytes = in.offered_bytes();
  attempt.service =
      in.offered_bytes() > 0 ? in.offered_service() : in.service();
  attempt.route = in.route();
  attempt.request_class = in.request_class();
  attempt.repeatable = in.repeatable();
  attempt.remaining = Duration(static_cast<int64_t>(in.remaining_micros()));
  attempt.credit_bytes = in.credit_bytes();
  attempt.version = in.version();
  return attempt;
}

void ToWire(const AnswerHead& head, wire::AnswerHead& out) {
  out.set_status(static_cast<uint32_t>(head.status));
  FillHeaders(head.headers, out);
  out.set_content_length(head.content_length);
}

AnswerHead FromWire(const wire::AnswerHead& in) {
  return {static_cast<int>(in.status()), HeadersOf(in), in.content_length()};
}

void ToWire(const Refusal& refusal, wire::AnswerRefused& out) {
  out.set_code(refusal.code.value());
  out.set_certainty(static_cast<uint32_t>(refusal.certainty));
  out.set_detail(refusal.detail);
  out.set_retry_after_micros(
      static_cast<uint64_t>(refusal.retry_after.count()));
}

Refusal FromWire(const wire::AnswerRefused& in) {
  return {ResultCodeFromNumber(in.code()),
          static_cast<Certainty>(in.certainty()), in.detail(),
          Duration(static_cast<int64_t>(in.retry_after_micros()))};
}

void ToWire(const LoadReport& load, wire::LoadReport& out) {
  out.set_running(load.running);
  out.set_queued(load.queued);
  out.set_slots(load.slots);
  out.set_service_micros(static_cast<uint32_t>(load.service_time.count()));
  out.set_state(load.serving ? 1 : 0);
  out.set_service_samples(load.service_samples);
  out.set_takes_offers(load.takes_offers);
  out.set_begun_work(load.begun_work);
}

LoadReport FromWire(const wire::LoadReport& in) {
  return {in.running(),      in.queued(),
          in.slots(),        Duration(in.service_micros()),
          in.state() == 1,   in.service_samples(),
          in.takes_offers(), in.begun_work()};
}

void ToWire(const QuarantineNotice& notice, wire::QuarantineNotice& out) {
  out.set_fingerprint(notice.fingerprint);
  out.set_blames(notice.blames);
  out.set_expires_in_ms(static_cast<uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(notice.expires_in)
          .count()));
}

QuarantineNotice FromWire(const wire::QuarantineNotice& in) {
  return {in.fingerprint(), in.blames(),
          std::chrono::milliseconds(in.expires_in_ms())};
}

std::error_code ResultCodeFromNumber(int number) {
  for (const ResultCodeCategory* category :
       {&RoutingCategory(), &AdmissionCategory(), &ClaimsCategory(),
        &PeerCategory()}) {
    if (category->Find(number) != nullptr) return {number, *category};
  }
  return RoutingCode::kOwnerLost;
}

}  // namespace hibiscusglade
