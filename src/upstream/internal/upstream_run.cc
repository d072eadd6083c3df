#include "upstream/internal/upstream_run.h"

#include "calls/answer_status.h"

namespace hibiscusglade {
namespace {

constexpr int kSwitchingProtocols = 101;

}  // namespace

bool UpstreamRun::BeginHead(std::string_view line) {
  const auto status = ParseStatusLine(line);
  // No request asks for another protocol.
  if (!status || *status == kSwitchingProtocols) {
    fault = "its status line has no valid status";
    return false;
  }
  in_head = true;
  head = {};
  head.status = *status;
  return true;
}

RunFailure FailureOf(const UpstreamRun& run, CURLcode result) {
  const bool other = run.head_kind == AnswerHeadKind::kOtherUpstream;
  if (other || run.head_kind == AnswerHeadKind::kNotRun) {
    return {RunProgress::kRejected, false, "the upstream rejected it", other};
  }
  if (run.head_kind == AnswerHeadKind::kMismatched) {
    return {RunProgress::kSent, false, "not an answer to the request"};
  }
  RunProgress progress = RunProgress::kNotSent;
  if (run.sent) progress = RunProgress::kSent;
  if (run.head_received) progress = RunProgress::kAnswering;
  if (!run.fault.empty()) return {progress, false, run.fault};
  // libcurl reports success when the connection is closed within the head.
  if (result == CURLE_OK) {
    return {progress, true, "the head of its answer broke off"};
  }
  // OnBeforeSend() aborts the repetition after a reused connection was lost.
  const bool lost =
      result == CURLE_COULDNT_CONNECT || result == CURLE_SEND_ERROR ||
      result == CURLE_RECV_ERROR || result == CURLE_GOT_NOTHING ||
      result == CURLE_PARTIAL_FILE || result == CURLE_ABORTED_BY_CALLBACK;
  return {progress, lost, curl_easy_strerror(result)};
}

}  // namespace hibiscusglade
