#pragma once

#include "base/Units.h"

#include <QByteArray>

#include <optional>

namespace cranberry {

/// What a target says in the head of an answer about taking further requests.
struct AvailabilityNotice {
    /// Another target answered, which has the same address now.
    bool isOther = false;
    /// The target did not take the request.
    bool isRejection = false;
    /// The target wants no request of this daemon for this time; positive.
    std::optional<Milliseconds> pause;
    /// The pause that the answer names, if it cannot be read.
    QByteArray unreadablePause;
    /// The target is leaving.
    bool isLeaving = false;
};

} // namespace cranberry
