// Defines PlacementRequest, what placement knows of a request.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "placement/MemoryForecast.h"

#include <QSet>

namespace cranberry {

struct PlacementRequest {
    RequestId request;
    ServiceId service;
    ModelId model;
    WorkspaceId workspace;
    Tokens promptTokens;
    /// Bound on the answer's length; a bound, not a forecast.
    Tokens maxTokens;
    /// Hash of the salted start of the prompt; 0 if none.
    quint64 prefixHash = 0;
    /// True if only a target on which its prefix is wanted will do.
    bool preferredOnly = false;
    /// Data centre of the daemon that decides.
    DataCentreId dataCentre;
    /// Targets that this request must not go to again.
    QSet<TargetId> excluded;
    /// Set by the target table: how much memory it is expected to take, and how many tokens it
    /// is expected to generate.
    MemoryForecast growth;
    Tokens expectedTokens;
};

} // namespace cranberry
