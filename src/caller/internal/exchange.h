#ifndef HIBISCUSGLADE_CALLER_INTERNAL_EXCHANGE_H_
#define HIBISCUSGLADE_CALLER_INTERNAL_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>

#include "caller/caller_dialect.h"
#include "calls/call_handler.h"

namespace hibiscusglade {

/// One request of a connection, and its answer as bytes to send.
class Exchange {
 public:
  /// @param keep_alive whether the connection stays open after the answer.
  /// @param accepts_chunked whether the caller accepts chunked answers.
  Exchange(CallRequest request, const CallerDialect& dialect, bool keep_alive,
           bool accepts_chunked);

  // These append to the answer, or end it. A head without the status of an
  // answer is replaced by an error, and what follows it is dropped.
  void PutHead(const AnswerHead& head);
  void PutData(const std::string& data);
  void PutEnd();
  void PutBroken(const Refusal& reason);
  void PutRefusal(const Refusal& refusal);

  /// @return bytes to send next; valid until another method is called.
  std::string_view Unsent() const;
  /// Removes bytes that were sent from the front of Unsent().
  void MarkSent(size_t bytes);

  /// @return bytes of the answer's body sent since the last call; zero while
  /// Unsent() is not empty.
  uint64_t TakeConsumed();

  /// @return bytes of the answer's body received since the last call of this
  /// method or TakeConsumed(), whether or not they were sent.
  uint64_t TakeHeld();

  /// Moves the request out; the exchange keeps only its id and method.
  CallRequest TakeRequest();
  const std::string& Method() const { return request_.method; }
  const std::string& RequestId() const { return request_.request_id; }
  /// @return whether the whole answer was received.
  bool Complete() const { return done_ && !broken_; }
  /// @return whether nothing more is appended to the answer.
  bool Ended() const { return done_; }
  bool PartlySent() const { return sent_ > 0; }
  bool Done() const { return done_ && Unsent().empty(); }
  bool Broken() const { return broken_; }
  /// @return bytes allocated for the output.
  size_t OutputCapacity() const { return out_.capacity(); }
  bool KeepsAlive() const { return keep_alive_; }
  /// @return length of the answer's body as its head says; 0: unknown.
  size_t ExpectedBytes() const { return expected_bytes_; }

  CallHandle call = 0;
  bool begun = false;
  size_t body_bytes = 0;  ///< Of the request.
  /// Called when there is output or the answer ends; empty once the connection
  /// no longer sends it.
  std::function<void()> on_output;

 private:
  void NotifyOutput();
  void PutStatus(int status);
  void PutField(const std::string& name, const std::string& value);

  CallRequest request_;
  const CallerDialect& dialect_;
  bool keep_alive_;
  bool accepts_chunked_;
  bool chunked_ = false;
  bool has_body_ = true;
  bool done_ = false;
  bool broken_ = false;
  size_t expected_bytes_ = 0;
  std::string out_;
  size_t offset_ = 0;      ///< Of the first byte of `out_` that is not sent.
  uint64_t sent_ = 0;      ///< Bytes sent in all.
  uint64_t body_put_ = 0;  ///< Bytes of the body passed to PutData().
  uint64_t body_reported_ = 0;  ///< Of them, reported to the owner.
};

/// Forwards an answer to an exchange.
class ExchangeStream : public CallerStream {
 public:
  /// @param count_refusal called with the code of a refusal.
  ExchangeStream(std::shared_ptr<Exchange> exchange,
                 std::function<void(const std::error_code&)> count_refusal)
      : exchange_(std::move(exchange)),
        count_refusal_(std::move(count_refusal)) {}

  void OnHead(const AnswerHead& head) override { exchange_->PutHead(head); }
  void OnData(std::string data) override { exchange_->PutData(data); }
  void OnEnd() override { exchange_->PutEnd(); }
  void OnBroken(const Refusal& reason) override {
    exchange_->PutBroken(reason);
  }
  void OnRefused(const Refusal& refusal) override {
    count_refusal_(refusal.code);
    exchange_->PutRefusal(refusal);
  }

 private:
  std::shared_ptr<Exchange> exchange_;
  std::function<void(const std::error_code&)> count_refusal_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLER_INTERNAL_EXCHANGE_H_
