#include "owner/internal/job.h"

namespace hibiscusglade {

Digest FingerprintOf(const CallRequest& request) {
  Digest digest = DigestOf(request.method);
  digest = DigestOf(request.target, digest);
  digest = DigestOf(request.body, digest);
  return DigestOf(request.idempotency_key, digest);
}

}  // namespace hibiscusglade
