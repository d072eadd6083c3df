#include "entry/internal/body_sender.h"

#include <algorithm>

namespace hibiscusglade {
namespace {

constexpr uint64_t kMaxPieceBytes = uint64_t{16} * 1024;

}  // namespace

void SendGranted(const AttemptId& id, const std::string& body, uint64_t until,
                 OpenAttempt& attempt, OwnerLink& owners) {
  const uint64_t end = std::min<uint64_t>(until, body.size());
  while (attempt.body_sent < end) {
    const uint64_t offset = attempt.body_sent;
    const uint64_t bytes = std::min(kMaxPieceBytes, end - offset);
    attempt.body_sent += bytes;
    owners.SendBody(attempt.owner, id, offset, body.substr(offset, bytes));
  }
}

}  // namespace hibiscusglade
