#ifndef HIBISCUSGLADE_CALLER_INTERNAL_RESPONSE_STREAM_H_
#define HIBISCUSGLADE_CALLER_INTERNAL_RESPONSE_STREAM_H_

#include <microhttpd.h>

#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "calls/call_handler.h"

namespace hibiscusglade {

/// Shared between the HTTP server's thread of one connection and the request
/// thread that brings the answer. The connection is suspended while there is
/// nothing to send.
class ResponseBuffer {
 public:
  explicit ResponseBuffer(MHD_Connection* connection)
      : connection_(connection) {}

  // Called by the request thread.
  void PutHead(const AnswerHead& head);
  void PutData(std::string data);
  void PutEnd();
  void PutBroken();
  void PutRefusal(const Refusal& refusal);

  /// The caller has left; whatever state the answer is in, it ends.
  void PutGone();

  // Called by the server's thread.

  /// Suspends the connection until the head or a refusal has come.
  /// @return whether it is there already.
  bool SuspendUntilHead();
  std::optional<AnswerHead> Head() const;
  std::optional<Refusal> Refused() const;

  /// Takes up to `most` bytes of the answer's body.
  /// @return the count, MHD_CONTENT_READER_END_OF_STREAM,
  /// MHD_CONTENT_READER_END_WITH_ERROR, or 0 with the connection suspended.
  ssize_t TakeData(char* out, size_t most);

  /// The server is done with the connection; it is never resumed again.
  void Detach();

 private:
  void Wake();

  mutable std::mutex mutex_;
  MHD_Connection* connection_;
  bool suspended_ = false;
  std::optional<AnswerHead> head_;
  std::optional<Refusal> refusal_;
  std::string data_;
  size_t data_offset_ = 0;
  bool ended_ = false;
  bool broken_ = false;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLER_INTERNAL_RESPONSE_STREAM_H_
