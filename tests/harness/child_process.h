#ifndef HIBISCUSGLADE_TESTS_HARNESS_CHILD_PROCESS_H_
#define HIBISCUSGLADE_TESTS_HARNESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace hibiscusglade {

/// A program started by a test; killed when the object goes.
class ChildProcess {
 public:
  /// @param log file for standard output and error, appended to.
  ChildProcess(const std::vector<std::string>& command, const std::string& log,
               const std::string& folder);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal) const;

  /// Waits for the end.
  /// @return the exit status, 128 + signal, or -1 at the timeout.
  int Wait(int timeout_ms);

  bool Running();
  pid_t Pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  int status_ = -1;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_TESTS_HARNESS_CHILD_PROCESS_H_
