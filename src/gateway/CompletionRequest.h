// Defines how a caller's completion request is read and checked.
#pragma once

#include "base/Result.h"
#include "delivery/GenerationRequest.h"

namespace cranberry {

struct ArrivalTime;
struct HttpRequest;

enum class CompletionShape {
    Text,
    Chat,
};

struct CompletionRequest {
    GenerationRequest generation;
    CompletionShape shape = CompletionShape::Text;
    /// The caller wants server-sent events.
    bool stream = false;
};

/// Reads @p request of @p workspace under @p configuration. Errors name the JSON path or
/// header at fault and what is allowed; every one says that nothing ran. Thread-safe.
Result<CompletionRequest> parseCompletion(const HttpRequest &request, CompletionShape shape,
                                          const WorkspaceId &workspace,
                                          const std::shared_ptr<const Configuration> &configuration,
                                          const ArrivalTime &arrival);

/// SHA-256 of @p workspace and @p idempotencyKey: what a claim is kept under. Thread-safe.
QByteArray claimKeyOf(const WorkspaceId &workspace, const QByteArray &idempotencyKey);

} // namespace cranberry
