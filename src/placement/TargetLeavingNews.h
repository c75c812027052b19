// Defines TargetLeavingNews, by which daemons tell each other that a target leaves.
#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <QCborMap>

#include <optional>

namespace cranberry {

struct TargetLeavingNews {
    TargetId target;
    /// The start of the target that leaves; a later start of it is not meant.
    Incarnation incarnation;
};

/// Thread-safe.
QCborMap toCbor(const TargetLeavingNews &news);

/// Nothing if @p body is not such news. Thread-safe.
std::optional<TargetLeavingNews> targetLeavingNewsFrom(const QCborMap &body);

} // namespace cranberry
