#ifndef HIBISCUSGLADE_REVIEW_NET_H_
#define HIBISCUSGLADE_REVIEW_NET_H_

#include <cstdint>
#include <map>
#include <string>

namespace review {

/// @return milliseconds of the steady clock.
int64_t NowMs();

/// @return milliseconds of the time of day.
int64_t UnixMs();

void SleepMs(int64_t ms);

/// Writes one line to the record file; lines of several processes don't mix.
void Record(const std::string& line);

/// Begins the record file; it is emptied.
void BeginRecord(const std::string& path);

/// Goes on with the record file of another process, which began it at
/// `start_ms` of the steady clock.
void ContinueRecord(const std::string& path, int64_t start_ms);

std::string RecordPath();
int64_t RecordStart();

/// @return a listening socket, -1 when the address is in use.
int Listen(const std::string& ip, uint16_t port);

/// @return a connected socket, -1 on failure. At most `timeout_ms` is waited.
int Connect(const std::string& ip, uint16_t port, int timeout_ms);

bool SendAll(int fd, const std::string& bytes);

/// One HTTP message. Names of fields are in lower case.
struct HttpMessage {
  std::string start_line;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const;
  /// @return the status of an answer.
  int Status() const;
};

/// Reads one message with a length, in chunks, or, of an answer, up to the end
/// of the connection. `rest` keeps what was read beyond it.
/// @return whether it was read whole before the deadline.
bool ReadMessage(int fd, std::string& rest, int64_t deadline_ms,
                 HttpMessage& message);

/// Sends one request on a new connection and reads the answer.
/// @return the status; 0 when there was no whole answer in time.
int Call(const std::string& ip, uint16_t port, const std::string& request,
         int timeout_ms, HttpMessage* answer = nullptr);

/// @return a request of the platform with a JSON body.
std::string JsonCall(const std::string& method, const std::string& path,
                     const std::string& body);

}  // namespace review

#endif  // HIBISCUSGLADE_REVIEW_NET_H_
