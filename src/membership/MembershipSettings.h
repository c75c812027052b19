// Defines MembershipSettings, the pace and the bounds of membership.
#pragma once

#include "base/Units.h"

namespace cranberry {

struct MembershipSettings {
    /// Between two heartbeats to a ring neighbour, unless the budget asks for more.
    Milliseconds heartbeat{500};
    /// Heartbeats that may be missed before a member is suspected.
    int missedHeartbeats = 3;
    /// How long a suspect may take to answer a probe, directly or through another member.
    Milliseconds probeTimeout{1000};
    /// How long a member that probes for another waits; shorter than probeTimeout.
    Milliseconds relayTimeout{600};
    /// Rounds of probes without any answer, even of those asked to probe, before a member is
    /// taken for dead.
    int probeRounds = 3;
    /// For all heartbeats of a daemon, both ways, headers included.
    int bytesPerSecond = 1450;
    /// Share of bytesPerSecond that periodic heartbeats take; the rest is for urgent ones.
    double periodicShare = 0.95;
    /// Headers of one message: IP and TCP with timestamps (52) for its segment and for the
    /// acknowledgement, and the websocket's (8).
    int headerBytes = 112;
    /// Up to so many others every other member is a neighbour.
    int fullMesh = 12;
    /// Others that are remembered at most, whatever is said.
    int mostMembers = 4096;
    /// Bounds of what one heartbeat carries beside its fixed part.
    int gossipBytes = 1200;
    int creditBytes = 256;
    /// Largest body of one news item.
    int newsBytes = 256;
    /// News and entries that wait to be passed on.
    int gossipItems = 256;
    /// How long an item is passed on at most.
    Milliseconds gossipLife{60'000};
    /// Between two heartbeats to members that are taken for dead, one at a time: after a partition
    /// somebody has to speak first.
    Milliseconds deadContact{10'000};
    /// How long a dead member is remembered, so that late news of it are known to be old.
    Milliseconds deadRetention{600'000};
    /// All daemons together read the list of VMs about once in this time.
    Milliseconds fleetListInterval{10'000};
    Milliseconds listRetryFirst{2000};
    Milliseconds listRetryLast{300'000};
    /// Nothing heard for so long: this daemon is isolated and asks the platform again.
    Milliseconds isolated{5000};
};

} // namespace cranberry
