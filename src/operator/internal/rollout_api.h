#ifndef HIBISCUSGLADE_OPERATOR_INTERNAL_ROLLOUT_API_H_
#define HIBISCUSGLADE_OPERATOR_INTERNAL_ROLLOUT_API_H_

#include <optional>

#include "http/simple_http_server.h"
#include "operator/operator_backend.h"

namespace hibiscusglade {

/// Answers requests about rollouts: orders one, shows one or lists all.
/// @return nullopt when the request is about something else.
std::optional<HttpResponse> AnswerAboutRollouts(OperatorBackend& backend,
                                                const HttpRequest& request);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OPERATOR_INTERNAL_ROLLOUT_API_H_
