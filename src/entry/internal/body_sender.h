#ifndef HIBISCUSGLADE_ENTRY_INTERNAL_BODY_SENDER_H_
#define HIBISCUSGLADE_ENTRY_INTERNAL_BODY_SENDER_H_

#include <string>

#include "calls/call_links.h"
#include "entry/internal/call_table.h"

namespace hibiscusglade {

/// Sends what was granted of an offered body and has not been sent.
/// @param until offset in the body; what is beyond its end is ignored.
void SendGranted(const AttemptId& id, const std::string& body, uint64_t until,
                 OpenAttempt& attempt, OwnerLink& owners);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_ENTRY_INTERNAL_BODY_SENDER_H_
