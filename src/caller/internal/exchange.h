#ifndef HIBISCUSGLADE_CALLER_INTERNAL_EXCHANGE_H_
#define HIBISCUSGLADE_CALLER_INTERNAL_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>

#include "caller/caller_dialect.h"
#include "calls/call_handler.h"

namespace hibiscusglade {

/// One request of a connection and the bytes of its answer.
class Exchange {
 public:
  /// @param keep_alive whether the connection goes on after the answer.
  /// @param chunks_known whether the caller understands chunked answers.
  Exchange(CallRequest request, const CallerDialect& dialect, bool keep_alive,
           bool chunks_known);

  // The answer as it comes.
  void PutHead(const AnswerHead& head);
  void PutData(const std::string& data);
  void PutEnd();
  void PutBroken(const Refusal& reason);
  void PutRefusal(const Refusal& refusal);

  /// @return bytes to send next; they stay until Sent().
  std::string_view Ready() const;
  void Sent(size_t bytes);

  /// @return once, how many bytes of the answer's body were sent since.
  uint64_t TakeConsumed();

  /// @return the request, to be begun; afterwards only its id and method are
  /// held.
  CallRequest TakeRequest();
  const std::string& Method() const { return request_.method; }
  bool Done() const { return done_ && Ready().empty(); }
  bool Broken() const { return broken_; }
  bool KeepsAlive() const { return keep_alive_; }

  CallHandle call = 0;
  bool begun = false;
  /// Called when there is more to send; empty once the connection is gone.
  std::function<void()> changed;

 private:
  void Changed();
  void PutStatus(int status);
  void PutField(const std::string& name, const std::string& value);

  CallRequest request_;
  const CallerDialect& dialect_;
  bool keep_alive_;
  bool chunks_known_;
  bool chunked_ = false;
  bool has_body_ = true;
  bool head_put_ = false;
  bool done_ = false;
  bool broken_ = false;
  std::string out_;
  size_t offset_ = 0;
  uint64_t sent_ = 0;
  uint64_t body_put_ = 0;
  uint64_t body_told_ = 0;
};

/// Passes an answer to an exchange.
class ExchangeStream : public CallerStream {
 public:
  /// @param count counts the refusals that callers are told.
  ExchangeStream(std::shared_ptr<Exchange> exchange,
                 std::function<void(const std::error_code&)> count)
      : exchange_(std::move(exchange)), count_(std::move(count)) {}

  void OnHead(const AnswerHead& head) override { exchange_->PutHead(head); }
  void OnData(std::string data) override { exchange_->PutData(data); }
  void OnEnd() override { exchange_->PutEnd(); }
  void OnBroken(const Refusal& reason) override {
    exchange_->PutBroken(reason);
  }
  void OnRefused(const Refusal& refusal) override {
    count_(refusal.code);
    exchange_->PutRefusal(refusal);
  }

 private:
  std::shared_ptr<Exchange> exchange_;
  std::function<void(const std::error_code&)> count_;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_CALLER_INTERNAL_EXCHANGE_H_
