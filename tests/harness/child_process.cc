#include "tests/harness/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <thread>

namespace hibiscusglade {

ChildProcess::ChildProcess(const std::vector<std::string>& command,
                           const std::string& log_file,
                           const std::string& folder) {
  std::vector<char*> arguments;
  for (const std::string& word : command) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  pid_ = fork();
  if (pid_ != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int out = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0640);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  if (chdir(folder.c_str()) != 0) _exit(127);
  execv(arguments[0], arguments.data());
  _exit(127);
}

ChildProcess::~ChildProcess() {
  if (!Running()) return;
  Signal(SIGKILL);
  Signal(SIGCONT);
  Wait(5000);
}

void ChildProcess::Signal(int signal) const { kill(pid_, signal); }

int ChildProcess::Wait(int timeout_ms) {
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
  while (Running()) {
    if (std::chrono::steady_clock::now() >= deadline) return -1;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return status_;
}

bool ChildProcess::Running() {
  if (pid_ < 0) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
  status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  pid_ = -1;
  return false;
}

}  // namespace hibiscusglade
