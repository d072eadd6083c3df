#ifndef HIBISCUSGLADE_BASE_STOP_SIGNAL_H_
#define HIBISCUSGLADE_BASE_STOP_SIGNAL_H_

namespace hibiscusglade {

/// Blocks TERM, INT and HUP in the calling thread and those it starts later.
/// Call it before any thread is started.
void BlockStopSignals();

/// Waits for the next TERM or INT.
/// @param timeout_ms longest wait in milliseconds; negative waits for ever.
/// @return true when a signal came, false at the timeout.
bool WaitForStopSignal(int timeout_ms);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_BASE_STOP_SIGNAL_H_
