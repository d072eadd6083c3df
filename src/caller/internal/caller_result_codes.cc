#include "caller/caller_result_codes.h"

namespace hibiscusglade {
namespace {

constexpr ResultCodeInfo kCodes[] = {
    {7001, "listen-failed", "the callers' address can't be listened on", 500,
     Certainty::kNotApplicable, "Check the address and that it is free."},
    {7002, "body-too-large", "the request's body is too large", 413,
     Certainty::kNotRun, "Raise max_request_body_bytes, or send less."},
    {7003, "method-unknown", "the method is not supported", 405,
     Certainty::kNotRun, "Use another method, such as GET or POST."},
    {7004, "header-invalid", "a header field has no valid value", 400,
     Certainty::kNotRun, "Correct the value of the header field."},
    {7005, "malformed", "the request can't be read", 400, Certainty::kNotRun,
     "Check the request that the caller sends."},
    {7006, "head-too-large", "the head of the request is too large", 431,
     Certainty::kNotRun, "Send less, or raise max_request_header_bytes."},
    {7007, "head-too-slow", "the head of the request did not come in time", 408,
     Certainty::kNotRun, "Look for a slow caller or network."},
    {7008, "body-memory-full", "callers' bodies occupy all memory for them",
     503, Certainty::kNotRun,
     "Look for callers that send slowly; spread uploads over instances."},
};

}  // namespace

const ResultCodeCategory& CallerCategory() {
  static const ResultCodeCategory category("caller", kCodes);
  return category;
}

std::error_code make_error_code(CallerCode code) {
  return {static_cast<int>(code), CallerCategory()};
}

}  // namespace hibiscusglade
