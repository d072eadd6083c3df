#include "ctl/internal/api_client.h"

#include "upstream/tests/scripted_upstream.h"

namespace hibiscusglade {
namespace {

constexpr char kHead[] = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";

// Guards against orders that seem accepted though their answer broke off.
TEST(ADaemonsAnswer, IsNoneWhenItsHeadEndsEarly) {
  const std::string head(kHead);
  for (size_t bytes = 0; bytes < head.size(); ++bytes) {
    AScriptedUpstream daemon(
        {{{head.substr(0, bytes), ConnectionEnd::kClosed}}});
    EXPECT_EQ(ApiClient(daemon.Address()).Post("/v1/order", "{}").status, 0)
        << head.substr(0, bytes);
  }
}

TEST(ADaemonsAnswer, HasItsStatusWhenItsHeadIsComplete) {
  AScriptedUpstream daemon({{{kHead, ConnectionEnd::kClosed}}});
  EXPECT_EQ(ApiClient(daemon.Address()).Get("/v1/order").status, 200);
}

}  // namespace
}  // namespace hibiscusglade
