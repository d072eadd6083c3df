#ifndef HIBISCUSGLADE_BASE_STOP_SIGNAL_H_
#define HIBISCUSGLADE_BASE_STOP_SIGNAL_H_

namespace hibiscusglade {

/// Blocks TERM, INT and HUP in the calling thread and those it starts later.
/// Call it before any thread is started.
void BlockStopSignals();

/// What a signal asks of the process.
enum class SignalRequest {
  kNone,    ///< No signal came in time.
  kStop,    ///< TERM or INT.
  kReload,  ///< HUP: the settings have changed.
};

/// Waits for the next TERM, INT or HUP. A wait that is interrupted, as when
/// the process was paused and goes on, is taken up again.
/// @param timeout_ms longest wait in milliseconds; negative waits for ever.
SignalRequest WaitForSignal(int timeout_ms);

/// Waits for the next TERM or INT; HUP is passed over.
/// @param timeout_ms longest wait in milliseconds; negative waits for ever.
/// @return true when a signal came, false at the timeout.
bool WaitForStopSignal(int timeout_ms);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_STOP_SIGNAL_H_
