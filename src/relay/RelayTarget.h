// Defines RelayTarget, one target as it announced itself.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpEndpoint.h"

namespace cranberry {

struct RelayTarget {
    /// New with each start of the target.
    TargetId id;
    /// Later starts have greater ones; zero if targets do not say.
    Incarnation incarnation;
    ServiceId service;
    HttpEndpoint endpoint;
    DataCentreId dataCentre;
    int slots = 1;
    /// It finishes what it has and takes nothing new.
    bool isLeaving = false;
    /// How much longer it is slow after its start.
    Milliseconds coldLeft{0};
};

} // namespace cranberry
