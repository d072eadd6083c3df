#ifndef HIBISCUSGLADE_BASE_STOP_SIGNAL_H_
#define HIBISCUSGLADE_BASE_STOP_SIGNAL_H_

namespace hibiscusglade {

/// Blocks SIGTERM, SIGINT and SIGHUP, for which the functions below wait, and
/// SIGPIPE, so that a write to a closed connection fails instead of ending the
/// process. Applies to the calling thread and the threads that it starts later:
/// call it before any thread is started.
void BlockStopSignals();

/// Action that a signal requests from the process.
enum class SignalRequest {
  kNone,    ///< No signal arrived before the timeout.
  kStop,    ///< SIGTERM or SIGINT.
  kReload,  ///< SIGHUP: the settings have changed.
};

/// Waits for the next SIGTERM, SIGINT or SIGHUP. Continues to wait after an
/// interruption (EINTR), as when a paused process is resumed.
/// @param timeout_ms longest wait in milliseconds; negative waits forever.
SignalRequest WaitForSignal(int timeout_ms);

/// Waits for the next SIGTERM or SIGINT and ignores SIGHUP.
/// @param timeout_ms longest wait in milliseconds; negative waits forever.
/// @return true when a signal arrived, false at the timeout.
bool WaitForStopSignal(int timeout_ms);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_STOP_SIGNAL_H_
