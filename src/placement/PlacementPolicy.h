// Defines the placement policies: free functions from what is known to a decision.
#pragma once

#include "configuration/Configuration.h"
#include "placement/Placement.h"
#include "placement/PlacementRequest.h"
#include "placement/TargetLoad.h"

#include <QList>

namespace cranberry {

/// Chooses among @p targets, which are the usable targets of the request's model, by the
/// policy of @p service. @p random is a fresh random number; equal arguments give equal
/// decisions. No I/O, no clock. Thread-safe.
Placement place(const PlacementRequest &request, const ServiceConfiguration &service,
                const QList<TargetLoad> &targets, quint64 random);

} // namespace cranberry
