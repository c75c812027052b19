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

/// A caller's completion request, parsed and checked.
struct CompletionRequest {
    GenerationRequest generation;
    CompletionShape shape = CompletionShape::Text;
    /// Whether the answer is sent as server-sent events.
    bool stream = false;
};

/// Parses and checks @p request of @p workspace under @p configuration. Errors state the invalid
/// JSON path or header and the allowed values, and have Ran::No. Thread-safe.
Result<CompletionRequest> parseCompletion(const HttpRequest &request, CompletionShape shape,
                                          const WorkspaceId &workspace,
                                          const std::shared_ptr<const Configuration> &configuration,
                                          const ArrivalTime &arrival);

/// SHA-256 of @p workspace and @p idempotencyKey, the key under which a claim is stored.
/// Thread-safe.
QByteArray claimKeyOf(const WorkspaceId &workspace, const QByteArray &idempotencyKey);

} // namespace cranberry
