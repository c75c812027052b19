#pragma once

#include "base/Units.h"

namespace cranberry {

/// Intervals, timeouts and limits of membership.
struct MembershipSettings {
    /// Interval of heartbeats to a ring neighbour; longer if bytesPerSecond requires it.
    Milliseconds heartbeatInterval{500};
    /// Heartbeats that may be missed before a member is suspected.
    int missedHeartbeatLimit = 3;
    /// Timeout of a probe round, for direct answers and for those through another member.
    Milliseconds probeTimeout{1000};
    /// Timeout of a probe on behalf of another member; shorter than probeTimeout.
    Milliseconds relayTimeout{600};
    /// Probe rounds without any answer, also from the helpers, before a member is declared dead.
    int probeRounds = 3;
    /// Budget for all heartbeats that a daemon sends and receives, headers included.
    int bytesPerSecond = 1450;
    /// Share of bytesPerSecond for periodic heartbeats; the rest is for urgent ones.
    double periodicShare = 0.95;
    /// Header bytes per message: 52 of IP and TCP with timestamps for its segment, the same for
    /// the acknowledgement, and 8 of the websocket.
    int headerBytes = 112;
    /// With up to this many other members, all of them are neighbours.
    int fullMeshLimit = 12;
    /// Maximum number of other members in the table; updates about further ones are ignored.
    int maxMembers = 4096;
    /// Limits of the variable parts of one heartbeat.
    int maxGossipBytes = 1200;
    int maxCreditBytes = 256;
    /// Largest encoded body of one broadcast.
    int maxBroadcastBytes = 256;
    /// Maximum number of queued broadcasts and member entries.
    int maxGossipItems = 256;
    /// Age at which an undelivered item is dropped from the queue.
    Milliseconds gossipLifetime{60'000};
    /// Interval of heartbeats to members that were declared dead, one random member at a time. They
    /// let the two sides of a healed network partition find each other again.
    Milliseconds deadContactInterval{10'000};
    /// How long a dead member stays in the table, so that late updates about it are recognized as
    /// outdated.
    Milliseconds deadRetention{600'000};
    /// All daemons together read the list of VMs about once per this interval.
    Milliseconds fleetListInterval{10'000};
    Milliseconds minListRetryBackoff{500};
    Milliseconds maxListRetryBackoff{300'000};
    /// Without any message for this long, a daemon counts as isolated and reads the list of VMs
    /// again.
    Milliseconds isolationTimeout{5000};
};

} // namespace cranberry
