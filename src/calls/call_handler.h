#ifndef HIBISCUSGLADE_CALLS_CALL_HANDLER_H_
#define HIBISCUSGLADE_CALLS_CALL_HANDLER_H_

#include <memory>
#include <string>

#include "calls/types/call_types.h"

namespace hibiscusglade {

/// Receives the answer to one call: either a single OnRefused(), or OnHead(),
/// any number of OnData(), and then OnEnd() or OnBroken().
class CallerStream {
 public:
  virtual ~CallerStream() = default;

  virtual void OnHead(const AnswerHead& head) = 0;
  virtual void OnData(std::string data) = 0;
  virtual void OnEnd() = 0;

  /// The rest of the answer is lost. The caller must not take what it has
  /// received for a complete answer.
  virtual void OnBroken(const Refusal& reason) = 0;
  virtual void OnRefused(const Refusal& reason) = 0;
};

/// Handles calls. All methods must be called on the handler's thread.
class CallHandler {
 public:
  virtual ~CallHandler() = default;

  /// Starts a call. The stream is not called before this has returned.
  /// @return handle for the other methods.
  virtual CallHandle Begin(CallRequest request,
                           std::unique_ptr<CallerStream> stream) = 0;

  /// Reports bytes of the answer's body that were sent to the caller.
  virtual void Consumed(CallHandle call, uint64_t bytes) = 0;

  /// Reports that the caller has disconnected.
  virtual void Cancel(CallHandle call) = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLS_CALL_HANDLER_H_
