#pragma once

#include "base/Result.h"
#include "delivery/PlainRequest.h"

namespace cranberry {

struct ArrivalTime;

/// Parses and checks a call of "/services/NAME/REST". REST is forwarded to the target with
/// method, query, body and headers, but without the caller's API key. Errors state the invalid
/// header or path. Thread-safe.
Result<PlainRequest> parsePlainCall(const HttpRequest &request, const WorkspaceId &workspace,
                                    const std::shared_ptr<const Configuration> &configuration,
                                    const ArrivalTime &arrival);

} // namespace cranberry
