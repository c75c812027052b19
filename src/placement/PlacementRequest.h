#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "placement/MemoryForecast.h"

#include <QSet>

namespace cranberry {

/// The properties of a request that placement uses.
struct PlacementRequest {
    RequestId request;
    ServiceId service;
    ModelId model;
    WorkspaceId workspace;
    Tokens promptTokens;
    /// Upper limit of the answer's length, not a prediction.
    Tokens maxTokens;
    /// Hash of the salted beginning of the prompt; 0 if none.
    quint64 prefixHash = 0;
    /// True if only targets that are preferred for its prefix may be chosen.
    bool preferredOnly = false;
    /// Data centre of the daemon that makes the decision.
    DataCentreId dataCentre;
    /// Targets to which this request must not be sent again.
    QSet<TargetId> excluded;
    /// Set by TargetTable: the predicted memory use and answer length.
    MemoryForecast expectedMemory;
    Tokens expectedTokens;
};

} // namespace cranberry
