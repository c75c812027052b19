#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpEndpoint.h"

namespace cranberry {

/// A target as described by its entry in the store.
struct RelayTarget {
    /// Different for each start of the target.
    TargetId id;
    /// Increases with each start; zero if targets do not report it.
    Incarnation incarnation;
    ServiceId service;
    HttpEndpoint endpoint;
    DataCentreId dataCentre;
    int slots = 1;
    /// It completes its requests and accepts no new ones.
    bool isLeaving = false;
    /// Remaining time for which it is slow after its start.
    Milliseconds coldLeft{0};
};

} // namespace cranberry
