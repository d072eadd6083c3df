#include "requests/internal/link_delay.h"

#include <algorithm>

namespace hibiscusglade {
namespace {

constexpr Duration kPeriod = std::chrono::seconds(30);
/// Connections are closed when they were idle for 60 s.
constexpr Duration kForgetAfter = std::chrono::seconds(120);
constexpr Duration kMinDelay = std::chrono::milliseconds(200);

}  // namespace

void LinkDelay::Discount(const std::string& connection, Duration sent_at,
                         Duration received_at, CallAttempt& attempt) {
  if (sent_at == Duration{}) return;
  const Duration delay = DelayOf(connection, sent_at, received_at);
  if (delay < kMinDelay) return;
  attempt.remaining = std::max(Duration{}, attempt.remaining - delay);
  if (attempt.objective == Duration{}) return;
  attempt.objective -= delay;
  // Zero would mean that there is no objective.
  if (attempt.objective == Duration{}) attempt.objective = Duration(-1);
}

Duration LinkDelay::DelayOf(const std::string& connection, Duration sent_at,
                            Duration received_at) {
  const Duration difference = received_at - sent_at;
  auto [found, is_new] = fastest_.try_emplace(connection);
  Fastest& fastest = found->second;
  if (is_new) {
    fastest = {difference, difference, received_at};
    ForgetIdle(received_at);
    return {};
  }
  if (received_at - fastest.period_began >= kPeriod) {
    fastest = {difference, fastest.current, received_at};
  }
  fastest.current = std::min(fastest.current, difference);
  return difference - std::min(fastest.current, fastest.before);
}

void LinkDelay::ForgetIdle(Duration now) {
  std::erase_if(fastest_, [now](const auto& entry) {
    return now - entry.second.period_began > kForgetAfter;
  });
}

}  // namespace hibiscusglade
