#ifndef HIBISCUSGLADE_OPERATOR_OPERATOR_API_H_
#define HIBISCUSGLADE_OPERATOR_OPERATOR_API_H_

#include "http/simple_http_server.h"
#include "operator/operator_backend.h"

namespace hibiscusglade {

/// Handles one request to the operators' HTTP API.
///   POST /v1/patches              propose a patch
///   GET  /v1/patches/ID           verdict on the patch with this id
///   GET  /v1/versions[?most=N]    history, newest first
///   GET  /v1/versions/latest|N    one version with its document
///   GET  /v1/in-force/N           rollout of a version by failure domain
///   GET  /v1/instances            records of all known instances
///   GET  /v1/status               status of this daemon
///   POST /v1/drain                drain the local upstream
///   GET  /metrics                 text exposition format
HttpResponse AnswerOperator(OperatorBackend& backend,
                            const HttpRequest& request);

}  // namespace hibiscusglade

#endif  // HIBISCUSGLADE_OPERATOR_OPERATOR_API_H_
