#pragma once

#include "membership/Broadcast.h"
#include "membership/MemberView.h"

#include <QCborMap>
#include <QList>

#include <optional>

namespace cranberry {

/// Sent by a daemon to its neighbours periodically.
struct HeartbeatMessage {
    Incarnation incarnation;
    ConfigurationVersion configurationVersion;
    /// The sender sends its next heartbeat to the same receiver within this time.
    Milliseconds nextInterval{0};
    bool leaving = false;
    QList<Member> members;
    QList<Broadcast> broadcasts;
    /// Set and read by placement; opaque to membership.
    QCborMap credits;
};

/// Thread-safe.
QCborMap heartbeatToCbor(const HeartbeatMessage &message);

/// Empty if @p body is not a well-formed heartbeat. Thread-safe.
std::optional<HeartbeatMessage> heartbeatFromCbor(const QCborMap &body);

} // namespace cranberry
