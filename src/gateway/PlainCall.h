// Defines how a caller's call of a plain service is read and checked.
#pragma once

#include "base/Result.h"
#include "delivery/PlainRequest.h"

namespace cranberry {

struct ArrivalTime;

/// Reads "/services/NAME/REST"; REST goes to the target with method, query and body.
/// The caller's key does not. Errors name the header or path at fault. Thread-safe.
Result<PlainRequest> parsePlainCall(const HttpRequest &request, const WorkspaceId &workspace,
                                    const std::shared_ptr<const Configuration> &configuration,
                                    const ArrivalTime &arrival);

} // namespace cranberry
