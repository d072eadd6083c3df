#ifndef HIBISCUSGLADE_PEER_SENDER_NAME_H_
#define HIBISCUSGLADE_PEER_SENDER_NAME_H_

#include "peer/peer_transport.h"
#include "wire/peer.pb.h"

namespace hibiscusglade {

/// Names the sender in a message. The transport over TCP does so only in a
/// connection's first message, and no transport in one to this daemon itself.
inline void NameSender(const PeerIdentity& identity, wire::Envelope& message) {
  message.set_instance(identity.instance);
  message.set_failure_domain(identity.failure_domain);
  message.set_incarnation(identity.incarnation);
}

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_PEER_SENDER_NAME_H_
