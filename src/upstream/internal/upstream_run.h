#ifndef HIBISCUSGLADE_UPSTREAM_INTERNAL_UPSTREAM_RUN_H_
#define HIBISCUSGLADE_UPSTREAM_INTERNAL_UPSTREAM_RUN_H_

#include <curl/curl.h>

#include <string>
#include <string_view>

#include "calls/call_links.h"
#include "upstream/internal/framing_limit.h"
#include "upstream/upstream_dialect.h"

namespace hibiscusglade {

/// One run or probe; used on the client's thread only.
struct UpstreamRun {
  RunId id = 0;
  CURL* easy = nullptr;
  curl_slist* fields = nullptr;
  CallAttempt attempt;
  AnswerHead head;
  AnswerHeadKind head_kind = AnswerHeadKind::kAnswer;
  bool in_head = false;  ///< A status line was received, but not its end.
  bool head_received = false;
  bool sent = false;             ///< Sending the request has begun.
  bool found_bytes = false;      ///< Its connection had bytes of nobody.
  int64_t remaining_credit = 0;  ///< Bytes of the body that may still be read.
  bool paused = false;           ///< Reading is paused for lack of credit.
  bool is_probe = false;
  curl_socket_t opened_socket = CURL_SOCKET_BAD;  ///< For this run.
  FramingLimit framing;
  /// What the upstream did wrong, if it isn't an error of libcurl.
  std::string fault;
  Instant started;  ///< When it was decided to send the request.
  Instant deadline;

  /// Begins a head with its status line, without the end of the line.
  /// @return false when it begins no answer.
  bool BeginHead(std::string_view line);
};

/// @param result of libcurl, for a run that didn't end well.
/// @return how far the run had got, and why it failed.
RunFailure FailureOf(const UpstreamRun& run, CURLcode result);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_UPSTREAM_INTERNAL_UPSTREAM_RUN_H_
