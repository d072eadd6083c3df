#ifndef HIBISCUSGLADE_TESTS_HARNESS_CHILD_PROCESS_H_
#define HIBISCUSGLADE_TESTS_HARNESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace hibiscusglade {

/// A program started by a test; killed when the object is destroyed.
class ChildProcess {
 public:
  /// @param command path of the program and its arguments.
  /// @param log_file file to which standard output and error are appended.
  /// @param folder working directory of the program.
  ChildProcess(const std::vector<std::string>& command,
               const std::string& log_file, const std::string& folder);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal) const;

  /// Waits until the program has ended.
  /// @return its exit status, 128 + the number of the signal that ended it, or
  /// -1 after the timeout.
  int Wait(int timeout_ms);

  bool Running();
  pid_t Pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  int status_ = -1;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_TESTS_HARNESS_CHILD_PROCESS_H_
