#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <QCborMap>

#include <optional>

namespace cranberry {

/// The message that tells other daemons that a target is shutting down.
struct TargetLeavingNews {
    TargetId target;
    /// The incarnation that is leaving; later incarnations of the target are not affected.
    Incarnation incarnation;
};

/// Thread-safe.
QCborMap toCbor(const TargetLeavingNews &news);

/// Empty if @p body is malformed. Thread-safe.
std::optional<TargetLeavingNews> targetLeavingNewsFrom(const QCborMap &body);

} // namespace cranberry
