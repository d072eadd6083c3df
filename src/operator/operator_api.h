#ifndef HIBISCUSGLADE_OPERATOR_OPERATOR_API_H_
#define HIBISCUSGLADE_OPERATOR_OPERATOR_API_H_

#include "http/simple_http_server.h"
#include "operator/operator_backend.h"

namespace hibiscusglade {

/// Answers one request of the operators' HTTP API.
///   POST /v1/patches              propose
///   GET  /v1/patches/ID           verdict on a patch id
///   GET  /v1/versions[?most=N]    history, newest first
///   GET  /v1/versions/latest|N    one version with its text
///   GET  /v1/in-force/N           progress by failure domain
///   GET  /v1/instances            records of all instances known
///   GET  /v1/status               this daemon
///   POST /v1/drain                drain the local upstream
///   GET  /metrics                 text exposition format
HttpResponse AnswerOperator(OperatorBackend& backend,
                            const HttpRequest& request);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OPERATOR_OPERATOR_API_H_
