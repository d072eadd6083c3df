#ifndef HIBISCUSGLADE_OWNER_INTERNAL_BODY_RECEIVER_H_
#define HIBISCUSGLADE_OWNER_INTERNAL_BODY_RECEIVER_H_

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/metrics.h"
#include "calls/call_links.h"
#include "owner/internal/body_grants.h"
#include "owner/internal/job.h"

namespace hibiscusglade {

/// What became of a piece of a body.
enum class PieceResult {
  kTaken,     ///< More pieces are to come.
  kComplete,  ///< The request has its whole body.
  kMisplaced  ///< Not granted, or not the next one.
};

/// Receives the bodies of requests that entries offer without them.
class BodyReceiver {
 public:
  /// @param link_mbps rate of the link in 10^6 bit/s; 0: unknown.
  /// @param link_traffic counters of all bytes that this daemon receives.
  BodyReceiver(EntryLink& entries, Metrics& metrics, double link_mbps,
               std::vector<const Counter*> link_traffic)
      : entries_(entries),
        metrics_(metrics),
        grants_(link_mbps),
        link_traffic_(std::move(link_traffic)) {}

  /// @param load of the upstream, with the service time of the job's class.
  /// @return nullopt when the body of an offered request may come; otherwise
  /// how long it takes until there will be room for it.
  std::optional<Duration> WaitForRoom(const Job& job, const LoadReport& load,
                                      Instant now);

  /// The body of an attempt will be received.
  void Accept(const Job& job, const LoadReport& load);

  /// Appends a piece to the request of a job.
  PieceResult OnPiece(Job& job, uint64_t offset, const std::string& data);

  /// The rest of a body, if there is any, will not be received.
  void Remove(const Job& job);

  /// Sends the grants that the link has room for now.
  void SendGrants(Instant now);

 private:
  static BodyOffer OfferOf(const Job& job, const LoadReport& load);
  void PublishMissing();

  EntryLink& entries_;
  Metrics& metrics_;
  BodyGrants grants_;
  std::vector<const Counter*> link_traffic_;
  std::map<AttemptId, EntryRef> entries_of_;
  uint64_t published_missing_ = 0;
};

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OWNER_INTERNAL_BODY_RECEIVER_H_
