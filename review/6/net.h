#ifndef HIBISCUSGLADE_REVIEW_6_NET_H_
#define HIBISCUSGLADE_REVIEW_6_NET_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace hibiscusglade::review {

/// Milliseconds since the start of the case.
int64_t NowMs();

void SleepMs(int64_t ms);

/// The file record.txt of a case: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path);

  void Line(const std::string& text);

 private:
  std::mutex mutex_;
  std::string path_;
};

/// A request or an answer.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;  ///< By name in lower case.
  std::string body;
  bool whole = false;

  std::string Field(const std::string& name) const;
  /// @return the status of an answer; 0 when there was none.
  int Status() const;
};

int ListenOn(const std::string& ip, uint16_t port);

/// @return -1 when nobody accepts in time.
int ConnectTo(const std::string& ip, uint16_t port, int64_t timeout_ms);

bool SendAll(int descriptor, const std::string& text);

void ResetAndClose(int descriptor);

/// One end of a kept HTTP connection.
class Stream {
 public:
  explicit Stream(int descriptor) : descriptor_(descriptor) {}

  /// @return nullopt when the connection ended, or time was up, before the
  /// message was whole.
  std::optional<Message> Read(int64_t deadline_ms);

  int Descriptor() const { return descriptor_; }

 private:
  bool Fill(int64_t deadline_ms);

  int descriptor_;
  std::string unread_;
};

/// Sends a request on a new connection.
/// @return the answer; one without a status when there was none.
Message Call(const std::string& ip, uint16_t port, const std::string& request,
             int64_t timeout_ms);

/// @param head further lines of the head, each with its line end.
std::string RequestText(const std::string& line, const std::string& head,
                        const std::string& body);

}  // namespace hibiscusglade::review

#endif  // HIBISCUSGLADE_REVIEW_6_NET_H_
