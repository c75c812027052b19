// Defines HeartbeatMessage, what a daemon tells its neighbours at a steady pace.
#pragma once

#include "membership/MemberView.h"
#include "membership/NewsItem.h"

#include <QCborMap>
#include <QList>

#include <optional>

namespace cranberry {

struct HeartbeatMessage {
    Incarnation incarnation;
    ConfigurationVersion configurationVersion;
    /// The sender will send its next heartbeat on this link within so long.
    Milliseconds next{0};
    bool leaving = false;
    QList<Member> members;
    QList<NewsItem> news;
    /// Of placement; opaque here.
    QCborMap credits;
};

/// Thread-safe.
QCborMap heartbeatToCbor(const HeartbeatMessage &message);

/// Empty if @p body is not a well-formed heartbeat. Thread-safe.
std::optional<HeartbeatMessage> heartbeatFromCbor(const QCborMap &body);

} // namespace cranberry
