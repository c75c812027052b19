#pragma once

#include "membership/GossipQueue.h"
#include "membership/MemberView.h"
#include "membership/MembershipSettings.h"
#include "membership/Neighbours.h"

#include <QMap>
#include <QSet>

namespace cranberry {

/// The state of one other member as known to this daemon.
struct MemberRecord {
    Member member;
    /// When it was last heard directly, or when this daemon began to expect its heartbeats.
    MonotonicTime lastHeard;
    /// Time to its next heartbeat, as announced in its last one.
    Milliseconds announcedInterval{0};
    /// Added to the silence timeout after other members reached it and this daemon did not.
    Milliseconds gracePeriod{0};
    /// When this daemon's next heartbeat to it is due.
    MonotonicTime nextHeartbeatAt;
    MonotonicTime stateChangedAt;
    /// True once a heartbeat of its present incarnation was received.
    bool hasBeenHeard = false;
};

/// A member that this daemon is probing.
struct Suspicion {
    MonotonicTime startedAt;
    /// End of the present probe round.
    MonotonicTime deadline;
    int round = 1;
    /// Helpers asked in the present round, and how many of them could not reach the member.
    int helperCount = 0;
    int unreachableReports = 0;
};

/// A probe on behalf of another member.
struct RelayedProbe {
    VmId requester;
    VmId target;
    MonotonicTime deadline;
};

/// The complete membership state of one daemon. A value type, changed by the functions of
/// MembershipRules.h.
struct MembershipState {
    MembershipSettings settings;
    Member self;
    QMap<VmId, MemberRecord> others;
    Neighbours neighbours;
    /// Members that have this daemon as a neighbour because their view differs, but are not its
    /// neighbours. They expect its heartbeats until the given time.
    QMap<VmId, MonotonicTime> inboundNeighbours;
    bool neighboursOutdated = true;
    GossipQueue gossip;
    QMap<VmId, Suspicion> suspicions;
    QList<RelayedProbe> relayedProbes;
    MonotonicTime lastTick;
    MonotonicTime lastMessageAt;
    MonotonicTime nextDeadContactAt;
    MonotonicTime nextExpiryAt;
    /// Bytes available for urgent heartbeats; negative once heartbeats have exceeded the rate.
    double urgentByteBudget = 0;
    /// Moving average of the size of a heartbeat with headers.
    double averageHeartbeatBytes = 0;
};

} // namespace cranberry
