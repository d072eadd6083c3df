#include "consensus/internal/start_round.h"

#include <algorithm>
#include <tuple>

namespace hibiscusglade {

bool StartRound::MustAnswer(const MemberId& from, const StartNotice& notice) {
  uint64_t& answered = answered_[from];
  const bool must = notice.heard != id_ || answered != notice.start;
  answered = notice.start;
  return must;
}

bool StartRound::OnNotice(const MemberId& from, Term term,
                          const StartNotice& notice) {
  if (!open_ || notice.heard != id_) return false;
  heard_[from] = {term, notice.last_term, notice.last_index, notice.start};
  return true;
}

bool StartRound::IsBest(Term last_term, LogIndex last_index) const {
  return std::ranges::none_of(heard_, [&](const auto& item) {
    const auto& [other, position] = item;
    const auto theirs = std::pair(position.last_term, position.last_index);
    const auto own = std::pair(last_term, last_index);
    return theirs > own || (theirs == own && other < self_);
  });
}

Term StartRound::HighestTerm() const {
  Term highest = 0;
  for (const auto& [other, position] : heard_) {
    highest = std::max(highest, position.term);
  }
  return highest;
}

uint64_t StartRound::VouchedStartOf(const MemberId& voter) const {
  const auto found = heard_.find(voter);
  return !vouched_ || found == heard_.end() ? 0 : found->second.start;
}

}  // namespace hibiscusglade
