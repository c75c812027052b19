#pragma once

#include "base/Ids.h"
#include "base/Units.h"
#include "http/HttpEndpoint.h"

#include <QSet>

namespace cranberry {

/// Another daemon of the fleet.
struct Peer {
    VmId vm;
    DataCentreId dataCentre;
    /// Where the daemon receives datagrams and serves requests of other daemons.
    HttpEndpoint endpoint;
    /// When the daemon was first listed or heard.
    MonotonicTime firstSeen;
    /// When the store last listed the daemon, or a message of it last arrived.
    MonotonicTime lastSeen;
    /// When a message of the daemon last arrived.
    MonotonicTime lastMessage;
    /// The version of the configuration in force at the daemon.
    qint64 configurationVersion = 0;
    /// The daemon is about to end and no longer acts for others.
    bool isDraining = false;
    /// Services that the daemon cannot reach.
    QSet<ServiceId> unreachable;
};

} // namespace cranberry
