// Defines MembershipState, all that one daemon's membership remembers.
#pragma once

#include "membership/GossipQueue.h"
#include "membership/MemberView.h"
#include "membership/MembershipSettings.h"
#include "membership/Neighbours.h"

#include <QMap>
#include <QSet>

namespace cranberry {

/// What is known of one other member.
struct MemberRecord {
    Member member;
    /// Last direct word of it, or the time from which one is due.
    MonotonicTime lastHeard;
    /// Its promise of the time to its next heartbeat.
    Milliseconds promised{0};
    /// Further silence granted after others reached it and this daemon did not.
    Milliseconds grace{0};
    /// When this daemon's next heartbeat to it is due.
    MonotonicTime nextBeat;
    MonotonicTime stateSince;
    /// True once it was heard directly in its present incarnation.
    bool heard = false;
};

/// A member that this daemon is probing.
struct Suspicion {
    MonotonicTime since;
    MonotonicTime deadline;
    int round = 1;
    int helpers = 0;
    int unreached = 0;
};

/// A probe on behalf of another member.
struct RelayedProbe {
    VmId origin;
    VmId target;
    MonotonicTime deadline;
};

/// A plain value; the functions of MembershipRules.h change it.
struct MembershipState {
    MembershipSettings settings;
    Member self;
    QMap<VmId, MemberRecord> others;
    Neighbours neighbours;
    /// Members whose view differs: they have this daemon for a neighbour, and so wait for its
    /// heartbeats, until the given time.
    QMap<VmId, MonotonicTime> guests;
    bool neighboursOutdated = true;
    GossipQueue gossip;
    QMap<VmId, Suspicion> suspicions;
    QList<RelayedProbe> relays;
    MonotonicTime lastTick;
    MonotonicTime lastHeardAnyone;
    MonotonicTime nextDeadContact;
    MonotonicTime nextExpiry;
    /// Bytes that may be spent now on urgent heartbeats; negative after spending more.
    double allowance = 0;
    /// Average bytes of a heartbeat with headers.
    double averageBytes = 0;
};

} // namespace cranberry
