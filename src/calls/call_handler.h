#ifndef HIBISCUSGLADE_CALLS_CALL_HANDLER_H_
#define HIBISCUSGLADE_CALLS_CALL_HANDLER_H_

#include <memory>
#include <string>

#include "calls/types/call_types.h"

namespace hibiscusglade {

/// Where the answer to one caller's request goes. Either OnRefused comes
/// alone, or OnHead, any number of OnData, then OnEnd or OnBroken.
class CallerStream {
 public:
  virtual ~CallerStream() = default;

  virtual void OnHead(const AnswerHead& head) = 0;
  virtual void OnData(std::string data) = 0;
  virtual void OnEnd() = 0;

  /// The answer ended before it was whole; the caller must see that.
  virtual void OnBroken(const Refusal& reason) = 0;
  virtual void OnRefused(const Refusal& reason) = 0;
};

/// Takes requests of callers, on its own thread.
class CallHandler {
 public:
  virtual ~CallHandler() = default;

  /// Starts a request. The stream is called after this has returned.
  /// @return the handle for the calls below.
  virtual CallHandle Begin(CallRequest request,
                           std::unique_ptr<CallerStream> stream) = 0;

  /// Tells that the caller has taken bytes of the answer.
  virtual void Consumed(CallHandle call, uint64_t bytes) = 0;

  /// Tells that the caller has gone.
  virtual void Cancel(CallHandle call) = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLS_CALL_HANDLER_H_
